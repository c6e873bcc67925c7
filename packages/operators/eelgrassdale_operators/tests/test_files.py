"""Tests of loading an operator's file."""

from eelgrassdale_operators import load_configuration, print_configuration

PYTHON_FILE = """
from eelgrassdale_operators import DataCentre

objects = [DataCentre(name=name, region=name) for name in ("xela", "zacapa")]
"""


def write_file(tmp_path, name, text):
    """Write a file and return its path."""
    path = tmp_path / name
    path.write_text(text)
    return path


def test_python_file_defines_objects(tmp_path):
    path = write_file(tmp_path, "config.py", PYTHON_FILE)
    assert sorted(load_configuration(path).ok.data_centres) == ["xela", "zacapa"]


def test_printed_form_loads_to_the_same_configuration(tmp_path):
    configuration = load_configuration(write_file(tmp_path, "c.py", PYTHON_FILE)).ok
    path = write_file(tmp_path, "c.json", print_configuration(configuration))
    assert load_configuration(path).ok == configuration


def test_file_that_fails_is_reported_with_its_error(tmp_path):
    error = load_configuration(write_file(tmp_path, "c.py", "1 / 0")).error
    assert "ZeroDivisionError" in str(error.problems[0])


def test_file_without_objects_is_reported(tmp_path):
    error = load_configuration(write_file(tmp_path, "c.py", "x = 1")).error
    assert error.problems[0].allowed == "a variable `objects`"


def test_wrong_object_is_reported(tmp_path):
    error = load_configuration(write_file(tmp_path, "c.py", "objects = [1]")).error
    assert "not a catalogue object" in str(error.problems[0])
