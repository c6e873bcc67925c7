"""Generates the result code table `docs/results.md`.

Run `python -m eelgrassdale.results.table` to print the page.
"""

from eelgrassdale.results.codes import CODE_INFO, ResultCode

INTRODUCTION = """\
# Result codes

Every answer that is not whole carries one of these codes, in the header
`X-Result-Code` and in the body. "Not run" is said only where it is certain:
the request reached no backend server, and no delayed copy of it can reach one
later. A code that a node does not know counts as "may have run".

| code | name | HTTP status | request ran | retry | meaning |
|---|---|---|---|---|---|
"""


def results_page() -> str:
    """Return the text of `docs/results.md`.

    Examples
    --------
    >>> "| 105 | QUEUE_FULL | 503 | not run |" in results_page()
    True

    """
    return INTRODUCTION + "".join(_row(code) for code in ResultCode)


def _row(code: ResultCode) -> str:
    info = CODE_INFO[code]
    cells = (
        str(int(code)),
        code.name,
        str(info.http_status),
        info.ran.value,
        info.retry.value,
        info.meaning,
    )
    return f"| {' | '.join(cells)} |\n"


if __name__ == "__main__":
    print(results_page(), end="")
