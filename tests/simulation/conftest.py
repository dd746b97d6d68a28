"""Fixtures of the tests of forwarding."""

import logging

import pytest


@pytest.fixture
def quiet_logs():
    logging.disable(logging.CRITICAL)
    yield
    logging.disable(logging.NOTSET)
