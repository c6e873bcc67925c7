"""Random runs of the admission decisions, checked against a separate model."""

import json

import attrs
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from eelgrassdale.admission import events as ev
from eelgrassdale.admission.machine import KEY_GRACE_SECONDS
from eelgrassdale.admission.replay import replay
from eelgrassdale.admission.tests.cases import (
    SETTINGS,
    configured,
    key,
    new_admission,
    report,
    submitted,
)
from eelgrassdale.admission.traces import record_of, settings_record
from eelgrassdale.results import ExecutionState, ResultCode, info_of

EXAMPLES = 100
STEPS = 80
NONCES = st.sampled_from([f"k{n}" for n in range(5)])
# Keys issued within one period expire together.
PERIOD_MS = 40_000


class AdmissionStateMachine(RuleBasedStateMachine):
    """An agent that pauses, and an engine that restarts, loads and reports late."""

    @initialize()
    def start(self):
        self.admission, self.monitor = new_admission()
        self.now = 0.0
        self.trace = [json.dumps(settings_record(SETTINGS))]
        self.generation = 0
        self.engine = 1
        self.sequence = 0
        self.version = "v1"
        self.data_centre_in_service = True
        self.data_centre_out_at = float("-inf")
        self.running = {}
        self.ran_keys = set()
        self.refused_keys = set()
        self.bodies = {}
        self.last_keyed = None
        self.ran_attempts = set()
        self.request_count = 0
        self.is_loading = False
        self.is_suspended = False
        self.configure()
        self.report_load(cold=False, lags=False)

    def apply(self, event):
        outcome = self.admission.apply(event)
        self.trace.append(json.dumps(record_of(event, outcome)))
        return outcome

    @rule(seconds=st.sampled_from([0.01, 0.5, 3.0, 15.0]))
    def advance_clock(self, seconds):
        self.now += seconds

    @rule(in_service=st.sampled_from([True, True, True, False]))
    def take_out_or_return(self, in_service):
        if self.data_centre_in_service and not in_service:
            self.data_centre_out_at = self.now
        self.data_centre_in_service = in_service
        self.configure()

    def configure(self):
        self.generation += 1
        self.apply(
            configured(
                now=self.now,
                generation=self.generation,
                data_centre_in_service=self.data_centre_in_service,
                model_version=self.version,
            )
        )

    @rule(cold=st.booleans(), lags=st.booleans())
    def report_load(self, cold, lags):
        self.sequence += 0 if lags else 1
        count = len(self.running)
        self.apply(
            report(
                now=self.now,
                incarnation=f"e{self.engine}",
                sequence=self.sequence,
                model_version=self.version,
                running=count,
                cold=cold,
            )
        )

    @rule()
    def restart_engine(self):
        self.engine += 1
        self.sequence = 0
        for ticket in list(self.running):
            self.complete(ticket, ResultCode.BACKEND_FAILED)
        self.report_load(cold=True, lags=False)
        room = self.admission.headroom(now=self.now)
        assert room.limit == 2

    @rule(count=st.integers(4, 8))
    def complete_healthy_requests(self, count):
        self.now += 3.0
        self.data_centre_in_service, self.is_suspended = True, False
        self.configure()
        self.apply(ev.PauseChecked(now=self.now))
        self.report_load(cold=False, lags=False)
        for _ in range(count):
            outcome = self.send()
            if outcome.run:
                self.complete(outcome.ticket, ResultCode.OK)

    @rule()
    def lose_cache(self):
        self.sequence, last = 0, self.sequence
        self.apply(report(now=self.now, incarnation=f"e{self.engine}", sequence=0))
        assert last == 0 or self.admission.headroom(now=self.now).limit == 2

    @rule(
        remaining_ms=st.sampled_from([0, 10, 5000, 10**6, 10**6]),
        max_tokens=st.sampled_from([0, 10, 10, 10, 100, 390, 500]),
        model_version=st.sampled_from(["", "", "v1", "v2"]),
    )
    def submit(self, remaining_ms, max_tokens, model_version):
        self.send(
            remaining_ms=remaining_ms,
            max_tokens=max_tokens,
            model_version=model_version,
        )

    @rule(nonce=NONCES, periods=st.integers(0, 2), body=st.integers(0, 3))
    def submit_keyed(self, nonce, periods, body):
        lifetime_ms = (int(self.now * 1000) // PERIOD_MS + periods) * PERIOD_MS
        self.last_keyed = (nonce, lifetime_ms, body == 0)
        self.repeat_last_key()

    @precondition(lambda self: self.last_keyed)
    @rule()
    def repeat_last_key(self):
        nonce, lifetime_ms, body = self.last_keyed
        text = key(nonce, lifetime_ms=lifetime_ms)
        outcome = self.send(key=text, key_digest=f"d{body}")
        expired = self.now * 1000 >= lifetime_ms
        if outcome.run:
            assert text not in self.ran_keys
            assert text not in self.refused_keys
            assert not expired
            self.ran_keys.add(text)
            self.bodies[text] = body
        if expired:
            assert outcome.code == ResultCode.KEY_EXPIRED
        else:
            self.check_repeat(text, body, outcome)

    def check_repeat(self, text, body, outcome):
        if text in self.bodies and self.bodies[text] != body:
            assert outcome.code == ResultCode.KEY_MISMATCH
        elif text in self.refused_keys:
            assert outcome.code == ResultCode.KEY_REFUSED
        elif text in self.ran_keys:
            assert outcome.code == ResultCode.OK
        elif info_of(outcome.code).ran is ExecutionState.NOT_RUN:
            self.refused_keys.add(text)
            self.bodies[text] = body

    def send(self, **values):
        self.request_count += 1
        event = submitted(f"r{self.request_count}", now=self.now, **values)
        return self.deliver(event)

    def deliver(self, event):
        outcome = self.apply(event)
        if outcome.run:
            attempt = (event.request_id, event.attempt)
            assert attempt not in self.ran_attempts
            self.ran_attempts.add(attempt)
            self.check_admitted(event, outcome)
            self.running[outcome.ticket] = event
            self.last_admitted = event
        return outcome

    def check_admitted(self, event, outcome):
        # An issued key is accepted for `KEY_GRACE_SECONDS` after the data centre
        # was taken out of service.
        is_honoured = (
            event.key and self.now - self.data_centre_out_at < KEY_GRACE_SECONDS
        )
        assert self.data_centre_in_service or is_honoured
        assert not self.is_loading
        assert not self.is_suspended
        assert event.remaining_ms > 0
        assert outcome.model_version == self.version
        assert event.model_version in ("", self.version)
        assert len(self.running) + 1 <= self.admission.headroom(now=self.now).limit
        held = sum(r.prompt_tokens + r.max_tokens for r in self.running.values())
        assert (held + event.prompt_tokens + event.max_tokens) * 10 <= 4000

    @precondition(lambda self: self.ran_attempts)
    @rule()
    def repeat_last_attempt(self):
        self.deliver(attrs.evolve(self.last_admitted, now=self.now))

    @precondition(lambda self: self.running)
    @rule(
        code=st.sampled_from(
            [
                ResultCode.OK,
                ResultCode.OK,
                ResultCode.BACKEND_FAILED,
                ResultCode.NO_BACKEND_SERVER,
                ResultCode.CALLER_CANCELLED,
            ]
        ),
        first=st.booleans(),
    )
    def complete_one(self, code, first):
        tickets = list(self.running)
        self.complete(tickets[0 if first else -1], code)

    def complete(self, ticket, code):
        event = self.running.pop(ticket)
        self.apply(
            ev.Completed(
                now=self.now,
                ticket=ticket,
                healthy=code is ResultCode.OK,
                code=code,
                answer_bytes=100,
            )
        )
        if event.key and info_of(code).ran is ExecutionState.NOT_RUN:
            self.refused_keys.add(event.key)

    @precondition(lambda self: self.last_keyed and self.running)
    @rule(code=st.sampled_from([ResultCode.OK, ResultCode.NO_BACKEND_SERVER]))
    def complete_keyed_and_repeat(self, code):
        for ticket, event in list(self.running.items()):
            if event.key:
                self.complete(ticket, code)
        self.repeat_last_key()

    @precondition(lambda self: not self.is_loading and not self.running)
    @rule()
    def start_load(self):
        self.is_loading = True
        self.apply(ev.LoadingStarted(now=self.now))

    @precondition(lambda self: self.is_loading)
    @rule()
    def end_load(self):
        self.is_loading = False
        self.version = "v2" if self.version == "v1" else "v1"
        self.apply(ev.LoadingEnded(now=self.now, model_version=self.version))
        self.configure()
        assert self.admission.headroom(now=self.now).limit == 2

    @rule(seconds=st.sampled_from([1.5, 70.0]))
    def pause(self, seconds):
        self.now += seconds
        self.is_suspended = True
        self.apply(ev.PauseSeen(now=self.now, seconds=seconds))

    @precondition(lambda self: self.is_suspended)
    @rule()
    def check_after_pause(self):
        self.is_suspended = False
        self.apply(ev.PauseChecked(now=self.now))

    @invariant()
    def invariants_hold(self):
        if not hasattr(self, "monitor"):
            return
        assert self.monitor.count == 0
        assert self.admission.running == len(self.running)
        assert len(self.admission.key_table) <= SETTINGS.max_keys
        assert self.admission.key_table.held_bytes <= SETTINGS.max_key_bytes

    def teardown(self):
        if hasattr(self, "trace"):
            result = replay(self.trace).ok
            assert result.difference is None


TestAdmissionStateMachine = AdmissionStateMachine.TestCase
TestAdmissionStateMachine.settings = settings(
    derandomize=True, max_examples=EXAMPLES, stateful_step_count=STEPS, deadline=None
)
