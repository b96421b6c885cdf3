//! Tests of the dispatcher, with random interleavings of requests, attempt results and time steps.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use geraniumshed_core::request::router::RouteView;
use geraniumshed_core::request::{
    AttemptResult, AttemptReturn, DispatchAction, DispatchEvent, DispatchPolicy, EndpointIndex,
    QueuedRequest, ServiceDispatcher,
};
use geraniumshed_model::prelude::*;
use proptest::prelude::*;
use rstest::rstest;

const SLOTS: u32 = 2;

fn entry(index: u32) -> EndpointEntry {
    EndpointEntry {
        endpoint: EndpointId {
            task: TaskId {
                record: "booking".parse().expect("valid"),
                generation: RecordGeneration(0),
                index,
            },
            attempt: AttemptNumber(1),
        },
        service: "booking".parse().expect("valid"),
        address: SocketAddr::from((Ipv4Addr::LOCALHOST, 1)),
        vm: format!("w{index}").parse().expect("valid"),
        zone: "a".parse().expect("valid"),
        slots: SlotCount(SLOTS),
        connections: 60,
        phase: EndpointPhase::Ready,
    }
}

fn view(endpoints: u32) -> RouteView {
    let own: VmId = "d0".parse().expect("valid");
    let zone: ZoneName = "a".parse().expect("valid");
    RouteView {
        daemons: BTreeMap::from([(own.clone(), zone)]),
        own,
        endpoints: (0..endpoints).map(entry).collect(),
        vms: BTreeMap::new(),
    }
}

fn dispatcher(endpoints: u32) -> ServiceDispatcher {
    dispatcher_with(endpoints, 4)
}

fn dispatcher_with(endpoints: u32, queue_limit: usize) -> ServiceDispatcher {
    let zone = "a".parse().expect("valid");
    let policy = DispatchPolicy::new(zone, queue_limit, Duration::from_millis(200));
    let mut dispatcher = ServiceDispatcher::new(policy, 3);
    dispatcher.update(TimePoint(0), &view(endpoints));
    dispatcher
}

fn request(id: u128, now: TimePoint, idempotent: bool) -> QueuedRequest {
    QueuedRequest {
        id: RequestId(id),
        urgency: UrgencyClass::Normal,
        arrived: now,
        deadline: now + Duration::from_secs(1),
        idempotent,
        replayable: true,
    }
}

/// The history of one run, against which the dispatcher's invariants are checked.
#[derive(Default)]
struct DispatchHistory {
    attempts: Vec<(RequestId, EndpointIndex)>,
    /// The number of each request's attempts that may have run.
    possible_runs: BTreeMap<RequestId, u32>,
    failures: BTreeMap<RequestId, ErrorKind>,
    answered: BTreeMap<RequestId, u32>,
}

impl DispatchHistory {
    fn apply(&mut self, actions: Vec<DispatchAction>, idempotent: bool) {
        for action in actions {
            match action {
                DispatchAction::Send {
                    request, endpoint, ..
                } => {
                    let possible_runs = self.possible_runs.get(&request).copied().unwrap_or(0);
                    assert!(
                        idempotent || possible_runs == 0,
                        "sent again after it may have run"
                    );
                    assert!(
                        !self.failures.contains_key(&request),
                        "sent after it failed"
                    );
                    self.attempts.push((request, endpoint));
                    let in_use = self.attempts.iter().filter(|(_, e)| *e == endpoint).count();
                    assert!(
                        in_use <= SLOTS as usize,
                        "more attempts in flight than slots"
                    );
                }
                DispatchAction::Wait { .. } => {}
                DispatchAction::Fail { request, kind, .. } => {
                    let says_not_run = kind.answer().outcome == RunOutcome::NotRun;
                    let may_have_run = self.possible_runs.contains_key(&request);
                    assert!(
                        !(says_not_run && may_have_run),
                        "reported as not run although it may have run"
                    );
                    assert!(
                        self.failures.insert(request, kind).is_none(),
                        "failed twice"
                    );
                    assert!(
                        !self.answered.contains_key(&request),
                        "failed after its answer"
                    );
                }
            }
        }
    }
}

const RESULTS: [AttemptResult; 8] = [
    AttemptResult::Answered,
    AttemptResult::Refused,
    AttemptResult::Busy,
    AttemptResult::Leaving,
    AttemptResult::TimedOut,
    AttemptResult::Lost,
    AttemptResult::Truncated,
    AttemptResult::Mismatched,
];

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 200,
        rng_seed: proptest::test_runner::RngSeed::Fixed(11),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn invariants_hold_under_any_interleaving(
        idempotent in any::<bool>(),
        steps in prop::collection::vec((0_u8..5, any::<u16>(), 0_u64..50_000), 1..120),
    ) {
        let mut dispatcher = dispatcher(3);
        let mut history = DispatchHistory::default();
        let mut now = TimePoint(0);
        let mut request_count = 0_u128;
        for (step, choice, pause) in steps {
            now = now + Duration::from_micros(pause);
            let event = match step {
                0 | 1 => {
                    request_count += 1;
                    DispatchEvent::Arrived(request(request_count, now, idempotent))
                }
                2 if !history.attempts.is_empty() => {
                    let index = usize::from(choice) % history.attempts.len();
                    let (id, endpoint) = history.attempts.swap_remove(index);
                    let result = RESULTS[usize::from(choice / 7) % RESULTS.len()];
                    if !result.is_not_run() {
                        *history.possible_runs.entry(id).or_default() += 1;
                    }
                    if result == AttemptResult::Answered {
                        *history.answered.entry(id).or_default() += 1;
                    }
                    DispatchEvent::Returned(AttemptReturn {
                        request: id,
                        endpoint,
                        result,
                        in_flight: None,
                    })
                }
                3 => DispatchEvent::HedgeDue(RequestId(u128::from(choice) % (request_count + 1))),
                4 if choice % 3 == 0 => {
                    DispatchEvent::WaitExpired(RequestId(u128::from(choice) % (request_count + 1)))
                }
                _ => DispatchEvent::Tick,
            };
            let actions = dispatcher.handle(now, event);
            history.apply(actions, idempotent);
        }
        prop_assert!(
            history.failures.len() + history.answered.len()
                <= usize::try_from(request_count).expect("small")
        );
    }
}

#[rstest]
#[case::refused(AttemptResult::Refused, true)]
#[case::busy(AttemptResult::Busy, true)]
#[case::leaving(AttemptResult::Leaving, true)]
#[case::lost(AttemptResult::Lost, false)]
#[case::timed_out(AttemptResult::TimedOut, false)]
#[case::truncated(AttemptResult::Truncated, false)]
#[case::mismatched(AttemptResult::Mismatched, false)]
fn a_non_idempotent_request_is_retried_only_if_it_did_not_run(
    #[case] result: AttemptResult,
    #[case] again: bool,
) {
    let mut dispatcher = dispatcher(3);
    let now = TimePoint(1000);
    let sent = dispatcher.handle(now, DispatchEvent::Arrived(request(1, now, false)));
    let [DispatchAction::Send { endpoint, .. }] = sent[..] else {
        panic!("{sent:?}");
    };
    let actions = dispatcher.handle(
        now,
        DispatchEvent::Returned(AttemptReturn {
            request: RequestId(1),
            endpoint,
            result,
            in_flight: None,
        }),
    );
    let resent = actions
        .iter()
        .any(|action| matches!(action, DispatchAction::Send { .. }));
    assert_eq!(resent, again, "{actions:?}");
}

#[test]
fn requests_beyond_slots_and_queue_are_refused_on_arrival() {
    let mut dispatcher = dispatcher(1);
    let now = TimePoint(0);
    let refused: Vec<_> = (0..20)
        .flat_map(|id| dispatcher.handle(now, DispatchEvent::Arrived(request(id, now, false))))
        .filter_map(|action| match action {
            DispatchAction::Fail {
                kind, retry_after, ..
            } => Some((kind, retry_after)),
            _ => None,
        })
        .collect();
    assert_eq!(
        refused.len(),
        20 - 2 - 4,
        "two slots, four places in the queue"
    );
    for (kind, retry_after) in refused {
        assert_eq!(kind, ErrorKind::Overloaded);
        assert!(retry_after > Duration::ZERO);
    }
}

#[test]
fn without_endpoints_a_request_fails_at_once() {
    let mut dispatcher = dispatcher(0);
    let now = TimePoint(0);
    let actions = dispatcher.handle(now, DispatchEvent::Arrived(request(1, now, false)));
    assert!(matches!(
        actions[..],
        [DispatchAction::Fail {
            kind: ErrorKind::NoEndpoint,
            ..
        }]
    ));
}

#[test]
fn an_endpoint_with_an_open_breaker_gets_no_requests_until_the_probe() {
    let mut dispatcher = dispatcher(1);
    let mut now = TimePoint(0);
    let mut sends = 0;
    for id in 0..100 {
        now = now + Duration::from_millis(5);
        let actions = dispatcher.handle(now, DispatchEvent::Arrived(request(id, now, false)));
        for action in actions {
            if let DispatchAction::Send {
                request, endpoint, ..
            } = action
            {
                sends += 1;
                dispatcher.handle(
                    now,
                    DispatchEvent::Returned(AttemptReturn {
                        request,
                        endpoint,
                        result: AttemptResult::Refused,
                        in_flight: None,
                    }),
                );
            }
        }
    }
    assert_eq!(
        sends, 3,
        "the breaker opens after three failures for 500 ms"
    );
    now = now + Duration::from_millis(600);
    let actions = dispatcher.handle(now, DispatchEvent::Arrived(request(200, now, false)));
    assert!(
        actions
            .iter()
            .any(|action| matches!(action, DispatchAction::Send { .. }))
    );
}

/// Ends all attempts with an answer at once. Returns the dispatcher's actions.
fn answer_all(
    dispatcher: &mut ServiceDispatcher,
    now: TimePoint,
    attempts: Vec<(RequestId, EndpointIndex)>,
) -> Vec<DispatchAction> {
    let mut actions = Vec::new();
    for (request, endpoint) in attempts {
        actions.extend(dispatcher.handle(
            now,
            DispatchEvent::Returned(AttemptReturn {
                request,
                endpoint,
                result: AttemptResult::Answered,
                in_flight: None,
            }),
        ));
    }
    actions
}

fn sends(actions: &[DispatchAction]) -> Vec<(RequestId, EndpointIndex)> {
    actions
        .iter()
        .filter_map(|action| match action {
            DispatchAction::Send {
                request, endpoint, ..
            } => Some((*request, *endpoint)),
            _ => None,
        })
        .collect()
}

/// After a pause of the daemon, all attempts in flight look slow at once. If that counted as the
/// service's new latency, the daemon would refuse requests that it can serve in time.
#[test]
fn requests_after_a_pause_of_the_daemon_are_not_refused() {
    let mut dispatcher = dispatcher_with(32, 1000);
    let mut now = TimePoint(0);
    let mut id = 0;
    let mut arrive = |dispatcher: &mut ServiceDispatcher, now| {
        id += 1;
        dispatcher.handle(now, DispatchEvent::Arrived(request(id, now, false)))
    };
    for _ in 0..500 {
        let sent = sends(&arrive(&mut dispatcher, now));
        now = now + Duration::from_millis(1);
        answer_all(&mut dispatcher, now, sent);
    }
    let mut attempts = Vec::new();
    for _ in 0..64 {
        attempts.extend(sends(&arrive(&mut dispatcher, now)));
    }
    now = now + Duration::from_millis(600);
    answer_all(&mut dispatcher, now, attempts);
    let refused = (0..600)
        .flat_map(|_| arrive(&mut dispatcher, now))
        .filter(|action| matches!(action, DispatchAction::Fail { .. }))
        .count();
    assert_eq!(refused, 0, "600 requests of 1 ms on 64 slots take 10 ms");
}
