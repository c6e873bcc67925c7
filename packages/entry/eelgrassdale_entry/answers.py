"""The bytes that callers receive, as HTTP/1.1."""

import json
from collections.abc import Mapping
from http import HTTPStatus

from eelgrassdale.results import ResultCode, ResultError, verdict_of

CRLF = b"\r\n"
LAST_CHUNK = b"0\r\n\r\n"
REQUEST_ID = "X-Request-Id"
RESULT_CODE = "X-Result-Code"
MODEL_VERSION = "X-Model-Version"
# The server decides framing and connection itself.
HOP_BY_HOP = frozenset(
    {
        "connection",
        "content-length",
        "date",
        "keep-alive",
        "proxy-authenticate",
        "server",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)


def chunk(data: bytes) -> bytes:
    """Return `data` as one HTTP chunk.

    Examples
    --------
    >>> chunk(b"lid")
    b'3\\r\\nlid\\r\\n'

    """
    return b"%x\r\n%b\r\n" % (len(data), data)


def text_line(offset: int, data: bytes) -> bytes:
    """Return a piece of generated text as a chunk with one JSON line.

    Examples
    --------
    >>> text_line(4, b"lid")
    b'1d\\r\\n{"offset": 4, "text": "lid"}\\n\\r\\n'

    """
    text = json.dumps(data.decode("utf-8", "replace"), ensure_ascii=False)
    return chunk(b'{"offset": %d, "text": %b}\n' % (offset, text.encode()))


def raw_chunk(_offset: int, data: bytes) -> bytes:
    """Return a piece of a plain service's body as one chunk."""
    return chunk(data)


def end_line(*, length: int, digest: str, model_version: str) -> bytes:
    """Return the last line of a whole answer and the terminating chunk."""
    body = {
        "end": True,
        "length": length,
        "digest": digest,
        "model_version": model_version,
        "code": int(ResultCode.OK),
    }
    return chunk(json.dumps(body).encode() + b"\n") + LAST_CHUNK


def failed_line(error: ResultError) -> bytes:
    """Return the last line of a broken answer, without a terminating chunk."""
    body = {"end": False, **error.as_json()}
    return chunk(json.dumps(body).encode() + b"\n")


def head(status: int, headers: Mapping[str, str]) -> bytes:
    """Return a status line and headers of a connection that closes."""
    lines = [f"HTTP/1.1 {status} {_reason(status)}"]
    lines += [f"{name}: {_one_line(value)}" for name, value in headers.items()]
    lines += ["Connection: close", "", ""]
    return "\r\n".join(lines).encode("latin-1", "replace")


def result_headers(
    request_id: str, code: int, model_version: str = ""
) -> dict[str, str]:
    """Return the headers that every answer has."""
    headers = {REQUEST_ID: request_id, RESULT_CODE: str(int(code))}
    if model_version:
        headers[MODEL_VERSION] = model_version
    return headers


def stream_head(request_id: str, model_version: str) -> bytes:
    """Return the head of a stream of JSON lines."""
    headers = {
        "Content-Type": "application/jsonl",
        "Transfer-Encoding": "chunked",
        **result_headers(request_id, ResultCode.OK, model_version),
    }
    return head(HTTPStatus.OK, headers)


def error_answer(request_id: str, error: ResultError) -> bytes:
    """Return a whole error answer."""
    body = json.dumps(error.as_json()).encode()
    headers = {
        "Content-Type": "application/json",
        "Content-Length": str(len(body)),
        **result_headers(request_id, error.code),
    }
    return head(verdict_of(error.code).http_status, headers) + body


def end_to_end(headers: Mapping[str, str]) -> dict[str, str]:
    """Return the headers of a plain service that are passed on."""
    return {
        name: value for name, value in headers.items() if name.lower() not in HOP_BY_HOP
    }


def _reason(status: int) -> str:
    try:
        return HTTPStatus(status).phrase
    except ValueError:
        return "Unknown"


def _one_line(value: str) -> str:
    # A line break in a backend server's header would start a new header.
    return str(value).replace("\r", " ").replace("\n", " ")
