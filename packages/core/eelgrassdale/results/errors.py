"""Errors that carry a result code."""

from attrs import frozen

from eelgrassdale.results.codes import ResultCode, info_of


@frozen(kw_only=True)
class Problem:
    """Invalid value of an input field, and what the field allows."""

    field: str
    value: object
    allowed: str

    def __str__(self) -> str:
        """Return the problem as one line.

        Examples
        --------
        >>> str(Problem(field="queue_limit", value=-1, allowed="1 to 10000"))
        'queue_limit: got -1, allowed: 1 to 10000'

        """
        return f"{self.field}: got {self.value!r}, allowed: {self.allowed}"


@frozen(kw_only=True)
class ResultError:
    """Error value for the error side of `expression.Result`."""

    code: ResultCode
    message: str = ""
    problems: tuple[Problem, ...] = ()

    def as_json(self) -> dict[str, object]:
        """Return the JSON body of an HTTP error response.

        Examples
        --------
        >>> err = ResultError(code=ResultCode.QUEUE_FULL)
        >>> err.as_json()["code"], err.as_json()["ran"]
        (105, 'not run')

        """
        info = info_of(self.code)
        return {
            "code": int(self.code),
            "name": self.code.name,
            "ran": info.ran.value,
            "retry": info.retry.value,
            "message": self.message or info.meaning,
            "problems": [str(problem) for problem in self.problems],
        }
