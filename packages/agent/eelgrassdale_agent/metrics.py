"""Names of the agent's metrics, with units; `docs/OPERATIONS.md` lists them."""

REQUESTS_ADMITTED = "requests_admitted"
REQUESTS_REFUSED = "requests_refused"
REQUESTS_COMPLETED = "requests_completed"
REQUESTS_CANCELLED = "requests_cancelled"
REQUESTS_PARKED = "requests_parked"
BACKEND_FAILURES = "backend_failures"
BUFFERED_BYTES = "buffered_bytes"
KEY_RECORDS = "key_records"
KEY_BYTES = "key_bytes"
STREAMS = "streams"
SLOT_LIMIT = "slot_limit"
SLOTS_USED = "slots_used"
PAUSES = "pauses"
BACKEND_MS = "backend_ms"

UNITS: dict[str, str] = {
    REQUESTS_ADMITTED: "requests",
    REQUESTS_REFUSED: "requests",
    REQUESTS_COMPLETED: "requests with a whole answer",
    REQUESTS_CANCELLED: "requests whose caller left",
    REQUESTS_PARKED: "engine streams cancelled for a slow reader",
    BACKEND_FAILURES: "requests that the backend server failed",
    BUFFERED_BYTES: "bytes held for readers",
    KEY_RECORDS: "remembered idempotency keys",
    KEY_BYTES: "bytes of remembered answers",
    STREAMS: "open streams",
    SLOT_LIMIT: "concurrent requests",
    SLOTS_USED: "concurrent requests",
    PAUSES: "pauses of the process",
    BACKEND_MS: "milliseconds of one backend server call",
}
