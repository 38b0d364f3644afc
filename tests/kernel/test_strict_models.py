"""Validation of addresses and ids that other programs send."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st
from pydantic import TypeAdapter, ValidationError

from jujubeslip.kernel import EndpointAddress, Id

address: TypeAdapter[str] = TypeAdapter(EndpointAddress)
endpoint_id: TypeAdapter[str] = TypeAdapter(Id)


def accepts(adapter: TypeAdapter[str], text: str) -> bool:
    try:
        adapter.validate_python(text)
    except ValidationError:
        return False
    return True


class TestEndpointAddress:
    @given(port=st.integers(0, 99_999))
    def test_has_a_port_in_range(self, port: int) -> None:
        assert accepts(address, f"10.0.0.1:{port}") == (1 <= port <= 65_535)

    @given(octet=st.integers(0, 999))
    def test_has_octets_in_range(self, octet: int) -> None:
        assert accepts(address, f"{octet}.1.2.{octet}:80") == (octet <= 255)

    @pytest.mark.parametrize("port", [1, 9999, 10_000, 59_999, 60_000, 65_535])
    def test_accepts_ports_at_a_bound(self, port: int) -> None:
        assert accepts(address, f"255.0.10.200:{port}")

    @pytest.mark.parametrize("port", [0, 65_536, 65_540, 65_600, 66_000, 70_000])
    def test_refuses_ports_beyond_a_bound(self, port: int) -> None:
        assert not accepts(address, f"255.0.10.200:{port}")

    @pytest.mark.parametrize(
        "text", ["01.0.0.1:80", "1.0.0.1:080", "1.0.0:80", "[::1]:80", "1.0.0.1:80 "]
    )
    def test_has_no_other_form(self, text: str) -> None:
        assert not accepts(address, text)


class TestId:
    @given(text=st.text(max_size=5))
    def test_is_visible_ascii_without_a_slash(self, text: str) -> None:
        valid = all("!" <= character <= "~" and character != "/" for character in text)
        assert accepts(endpoint_id, text) == (bool(text) and valid)
