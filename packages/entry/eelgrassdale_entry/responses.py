"""Encoding of responses to callers as HTTP/1.1."""

import json
from collections.abc import Mapping
from http import HTTPStatus

from eelgrassdale.results import ResultCode, ResultError, info_of

CRLF = b"\r\n"
LAST_CHUNK = b"0\r\n\r\n"
REQUEST_ID_HEADER = "X-Request-Id"
RESULT_CODE_HEADER = "X-Result-Code"
MODEL_VERSION_HEADER = "X-Model-Version"
# Headers of a backend server that are not forwarded, because this node frames the
# response and manages the connection itself.
HOP_BY_HOP_HEADERS = frozenset(
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


def http_chunk(data: bytes) -> bytes:
    """Return `data` as one HTTP chunk.

    Examples
    --------
    >>> http_chunk(b"lid")
    b'3\\r\\nlid\\r\\n'

    """
    return b"%x\r\n%b\r\n" % (len(data), data)


def text_line(offset: int, data: bytes) -> bytes:
    """Return a piece of generated text as an HTTP chunk with one JSON line.

    Examples
    --------
    >>> text_line(4, b"lid")
    b'1d\\r\\n{"offset": 4, "text": "lid"}\\n\\r\\n'

    """
    text = json.dumps(data.decode("utf-8", "replace"), ensure_ascii=False)
    return http_chunk(b'{"offset": %d, "text": %b}\n' % (offset, text.encode()))


def raw_chunk(_offset: int, data: bytes) -> bytes:
    """Return a piece of a plain service's response body as one HTTP chunk."""
    return http_chunk(data)


def final_line(*, length: int, digest: str, model_version: str) -> bytes:
    """Return the last JSON line of a complete stream and the terminating chunk."""
    body = {
        "end": True,
        "length": length,
        "digest": digest,
        "model_version": model_version,
        "code": int(ResultCode.OK),
    }
    return http_chunk(json.dumps(body).encode() + b"\n") + LAST_CHUNK


def error_line(error: ResultError) -> bytes:
    """Return the last JSON line of a failed stream.

    The terminating chunk is left out, so that HTTP clients report truncation.
    """
    body = {"end": False, **error.as_json()}
    return http_chunk(json.dumps(body).encode() + b"\n")


def response_head(status: int, headers: Mapping[str, str]) -> bytes:
    """Return the status line and headers of a response that ends its connection."""
    lines = [f"HTTP/1.1 {status} {_reason_phrase(status)}"]
    lines += [
        f"{name}: {_without_line_breaks(value)}" for name, value in headers.items()
    ]
    lines += ["Connection: close", "", ""]
    return "\r\n".join(lines).encode("latin-1", "replace")


def result_headers(
    request_id: str, code: int, model_version: str = ""
) -> dict[str, str]:
    """Return the headers that every response has."""
    headers = {REQUEST_ID_HEADER: request_id, RESULT_CODE_HEADER: str(int(code))}
    if model_version:
        headers[MODEL_VERSION_HEADER] = model_version
    return headers


def stream_head(request_id: str, model_version: str) -> bytes:
    """Return the response head of a stream of JSON lines."""
    headers = {
        "Content-Type": "application/jsonl",
        "Transfer-Encoding": "chunked",
        **result_headers(request_id, ResultCode.OK, model_version),
    }
    return response_head(HTTPStatus.OK, headers)


def error_response(request_id: str, error: ResultError) -> bytes:
    """Return a complete error response."""
    body = json.dumps(error.as_json()).encode()
    headers = {
        "Content-Type": "application/json",
        "Content-Length": str(len(body)),
        **result_headers(request_id, error.code),
    }
    return response_head(info_of(error.code).http_status, headers) + body


def end_to_end_headers(headers: Mapping[str, str]) -> dict[str, str]:
    """Return the response headers of a plain service that callers receive."""
    return {
        name: value
        for name, value in headers.items()
        if name.lower() not in HOP_BY_HOP_HEADERS
    }


def _reason_phrase(status: int) -> str:
    try:
        return HTTPStatus(status).phrase
    except ValueError:
        return "Unknown"


def _without_line_breaks(value: str) -> str:
    # A line break in a backend server's header would inject another header.
    return str(value).replace("\r", " ").replace("\n", " ")
