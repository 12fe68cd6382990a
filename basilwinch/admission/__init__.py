"""Admission control: fleet-wide limits of organisations, fair queues and deadlines."""

from basilwinch.admission.admission import Admission, Ticket
from basilwinch.admission.config import AdmissionConfig, AdmitRequest, Usage
from basilwinch.admission.exchange import UsageExchange

__all__ = ["Admission", "AdmissionConfig", "AdmitRequest", "Ticket", "Usage", "UsageExchange"]
