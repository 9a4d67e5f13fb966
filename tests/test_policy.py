"""Tests of templates, customers and the rules for accepting their records."""

import msgspec
import pytest

from apricotwalk.core import PolicyError, RecordError
from apricotwalk.policy import (
    Customer,
    Parameter,
    PolicyState,
    Route,
    Template,
    compile_customer,
    decode_record,
    encode_record,
)


@pytest.fixture
def template() -> Template:
    routes = [
        Route("menu", "GET", "/menu", "menu", 2, deadline_ms="${patience_ms}"),
        Route("allergy", "GET", "/menu/allergy", "diet", 0, deadline_ms=800.0, retry_budget=2.0),
    ]
    return Template("school", 1, routes, {"patience_ms": Parameter(100, 2000, 500)})


@pytest.fixture
def customer() -> Customer:
    return Customer("accra", 1, "school", 1, {"patience_ms": 900.0})


@pytest.fixture
def state(template, customer) -> PolicyState:
    state = PolicyState()
    assert state.apply(0, template) is None
    assert state.apply(1, customer) is None
    return state


def test_records_round_trip_through_encoding(template, customer):
    assert decode_record(encode_record(template)) == template
    assert decode_record(encode_record(customer)) == customer


@pytest.mark.parametrize(
    ("text", "position"),
    [
        (b"{", "truncated"),
        (b'{"kind":"tenant"}', "kind"),
        (b'{"kind":"customer","name":"a","version":0}', "$.version"),
        (b'{"kind":"customer","name":"a","version":1,"colour":"red"}', "colour"),
    ],
)
def test_error_for_unreadable_record_names_the_position(text, position):
    with pytest.raises(RecordError, match=position.replace("$", r"\$")):
        decode_record(text)


def test_longest_matching_path_is_selected(template, customer):
    policy = compile_customer(template, customer)
    assert policy.match("GET", "/menu/allergy/7").route == "allergy"
    assert policy.match("GET", "/menu/monday").deadline_seconds == 0.9
    assert policy.match("POST", "/menu") is None


@pytest.mark.parametrize("value", [99.0, 2001.0])
def test_parameter_out_of_bounds_is_refused(state, value):
    changed = Customer("accra", 2, "school", 1, {"patience_ms": value})
    with pytest.raises(PolicyError, match=r"patience_ms.*between 100.* and 2000"):
        state.check(changed)


def test_first_of_two_concurrent_versions_is_applied(state):
    first = Customer("accra", 2, "school", 1, {"patience_ms": 200.0}, "one")
    second = Customer("accra", 2, "school", 1, {"patience_ms": 300.0}, "two")
    assert state.apply(2, first) is None
    rejection = state.apply(3, second)
    assert rejection is not None
    assert "version 3 is next" in rejection.reason
    assert state.customers_by_name["accra"].publish_id == "one"


def test_repeated_publish_is_recognised(state):
    changed = Customer("accra", 2, "school", 1, {}, "same")
    assert state.apply(2, changed) is None
    assert state.apply(3, changed) is None
    assert state.customer_version("accra") == 2


def test_template_that_breaks_a_customer_is_refused(state, template):
    narrow = msgspec.structs.replace(
        template, version=2, parameters={"patience_ms": Parameter(100, 800, 500)}
    )
    rejection = state.apply(2, narrow)
    assert rejection is not None
    assert "would break customer accra" in rejection.reason


def test_new_template_version_leaves_compiled_customers_unchanged(state, template):
    before = state.policies_by_customer["accra"]
    assert state.apply(2, msgspec.structs.replace(template, version=2)) is None
    assert state.policies_by_customer["accra"] is before


def test_old_offset_is_not_applied_again(state, template):
    rejection = state.apply(0, template)
    assert rejection is not None
    assert state.next_offset == 2
