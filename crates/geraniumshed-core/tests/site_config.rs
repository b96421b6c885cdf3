//! Routes, changes between versions, and where a node reads the configuration.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use geraniumshed_core::job::{QueueName, QueuePolicy};
use geraniumshed_core::leadership::MemberIdentity;
use geraniumshed_core::site::{
    ConfigFollower, ConfigHistory, ConfigUpdate, ConfigVersion, FollowAction, FollowRole,
    PeerAnswer, RouteEntry, RouteKey, SiteConfig,
};
use geraniumshed_model::prelude::{LogOffset, TimePoint};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use rstest::rstest;

/// The time within which a noticed configuration is read or being read.
const READ_LIMIT: Duration = Duration::from_millis(1_700);

fn config(version: u64, routes: &BTreeMap<String, u32>) -> SiteConfig {
    let routes = routes.iter().map(|(prefix, priority)| {
        let policy = QueuePolicy {
            service: "s".into(),
            priority: *priority,
            attempt_limit: 3,
            stretch: 2.0,
            latency_objective: Duration::from_secs(1),
            advice: None,
        };
        let queue = QueueName::from(prefix.as_str());
        let key = RouteKey::new("H.example", prefix.into());
        (key, RouteEntry { queue, policy })
    });
    SiteConfig {
        version: ConfigVersion(version),
        body_limit: usize::try_from(version).unwrap(),
        routes: routes.collect(),
    }
}

/// Guards against a node whose routes differ from the published ones after any sequence of changes,
/// skipped versions included.
#[rstest]
fn changes_from_any_known_version_lead_to_the_version_in_force(
    #[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64,
) {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut routes = BTreeMap::new();
    let mut published = Vec::new();
    for version in 1..=60 {
        for _ in 0..random.random_range(1..6) {
            let prefix = format!("/{}/", random.random_range(0..20));
            if random.random_bool(0.4) {
                routes.remove(&prefix);
            } else {
                routes.insert(prefix, random.random_range(0..3));
            }
        }
        published.push(config(version, &routes));
    }
    let mut history = ConfigHistory::default();
    let mut in_force: Option<SiteConfig> = None;
    for config in published.iter().filter(|_| random.random_bool(0.6)) {
        history.record(in_force.as_ref(), config);
        in_force = Some(config.clone());
        for base in published
            .iter()
            .filter(|base| base.version < config.version)
        {
            let update = history.update_from(base.version, config);
            assert_eq!(base.updated(update).as_ref(), Some(config));
        }
    }
}

#[test]
fn changes_do_not_apply_to_another_version() {
    let routes = BTreeMap::from([("/a/".to_owned(), 1)]);
    let update = ConfigUpdate {
        base: Some(ConfigVersion(2)),
        ..ConfigUpdate::from(&config(3, &routes))
    };
    assert_eq!(config(1, &routes).updated(update), None);
}

#[rstest]
#[case::longest_prefix("h.EXAMPLE", "/a/b/5", Some(("/a/b/", "5")))]
#[case::shorter_prefix("h.example", "/a/5", Some(("/a/", "5")))]
#[case::whole_path("h.example", "/a/", Some(("/a/", "")))]
#[case::other_path("h.example", "/b/", None)]
#[case::other_host("o.example", "/a/", None)]
#[case::wide_character("h.example", "/a/\u{e9}", Some(("/a/", "\u{e9}")))]
fn route_with_the_longest_prefix_is_found(
    #[case] host: &str,
    #[case] path: &str,
    #[case] expected: Option<(&str, &str)>,
) {
    let routes = ["/a/", "/a/b/", "/a/b/c/"].map(|prefix| (prefix.to_owned(), 1));
    let config = config(1, &routes.into());
    let found = config.routes.find(host, path);
    let found = found.map(|(entry, rest)| (entry.queue.0.as_str(), rest));
    assert_eq!(found, expected);
}

fn member(index: u8) -> MemberIdentity {
    MemberIdentity {
        name: format!("d-{index}").into(),
        incarnation: 1,
        address: SocketAddr::from(([10, 0, 0, index], 1)),
    }
}

/// What the leader does when it is asked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum LeaderBehavior {
    /// It has the published configuration.
    UpToDate,
    /// It can't read the store.
    WithoutStore,
    /// It doesn't answer in time.
    Silent,
    /// It refuses connections.
    Gone,
}

/// Guards against a node that waits for another one without a limit, or reads in the store what the
/// leader passes on.
#[rstest]
#[case::leader_up_to_date(LeaderBehavior::UpToDate, 0, None)]
#[case::leader_without_store(LeaderBehavior::WithoutStore, 0, Some(0))]
#[case::leader_gone(LeaderBehavior::Gone, 0, Some(0))]
#[case::leader_gone_late_rank(LeaderBehavior::Gone, 40, Some(750))]
#[case::leader_silent(LeaderBehavior::Silent, 0, Some(900))]
#[case::leader_silent_late_rank(LeaderBehavior::Silent, 40, Some(1_650))]
fn follower_reads_the_store_if_the_leader_does_not_help(
    #[case] behavior: LeaderBehavior,
    #[case] rank: u32,
    #[case] expected_ms: Option<u64>,
) {
    let mut follower = read_follower();
    let leader = member(1);
    let role = FollowRole::Following { leader, rank };
    let mut now = TimePoint(10_000_000);
    let noticed = now;
    follower.topic_checked(now, Some(LogOffset(2)));
    let mut read_at = None;
    while now.since(noticed) <= READ_LIMIT && read_at.is_none() {
        match follower.next_action(now, &role) {
            FollowAction::CheckTopic => follower.topic_checked(now, Some(LogOffset(2))),
            FollowAction::ReadStore(_) => read_at = Some(now),
            FollowAction::ReadPeer(_) => answer_peer(&mut follower, now, behavior),
            FollowAction::Wait(delay) => now = now + delay.max(Duration::from_millis(1)),
        }
    }
    let read_ms = read_at.map(|at| u64::try_from(at.since(noticed).as_millis()).unwrap());
    assert_eq!(read_ms, expected_ms);
}

/// Returns a follower with version 1 in force, which lies at offset 0.
fn read_follower() -> ConfigFollower {
    let now = TimePoint(1_000_000);
    let mut follower = ConfigFollower::new(now);
    follower.store_answered(now, ConfigVersion(1), Some(LogOffset(1)));
    follower
}

fn answer_peer(follower: &mut ConfigFollower, now: TimePoint, behavior: LeaderBehavior) {
    let answer = |covered, can_read_store| {
        let covered = LogOffset(covered);
        Some(PeerAnswer {
            covered,
            can_read_store,
        })
    };
    match behavior {
        LeaderBehavior::UpToDate => {
            follower.peer_answered(now, &member(1), ConfigVersion(2), answer(2, true));
        }
        LeaderBehavior::WithoutStore => {
            follower.peer_answered(now, &member(1), ConfigVersion(1), answer(1, false));
        }
        LeaderBehavior::Gone => follower.peer_answered(now, &member(1), ConfigVersion(1), None),
        LeaderBehavior::Silent => {}
    }
}

#[rstest]
#[case::leader(FollowRole::Leading)]
#[case::no_leader(FollowRole::Alone)]
fn node_without_another_leader_reads_the_store_at_once(#[case] role: FollowRole) {
    let mut follower = read_follower();
    let now = TimePoint(10_000_000);
    follower.topic_checked(now, Some(LogOffset(2)));
    let action = follower.next_action(now, &role);
    assert!(matches!(action, FollowAction::ReadStore(_)), "{action:?}");
}

/// Guards against a slow store whose answers begin later than any fixed time.
#[test]
fn store_gets_more_time_after_each_failure() {
    let mut follower = read_follower();
    let mut now = TimePoint(10_000_000);
    follower.topic_checked(now, Some(LogOffset(2)));
    let mut limits = Vec::new();
    while limits.len() < 5 {
        match follower.next_action(now, &FollowRole::Leading) {
            FollowAction::CheckTopic => follower.topic_checked(now, Some(LogOffset(2))),
            FollowAction::ReadStore(limit) => {
                limits.push(limit.as_secs());
                follower.store_answered(now, ConfigVersion(1), None);
            }
            FollowAction::ReadPeer(peer) => panic!("no peer is known, but {peer} is asked"),
            FollowAction::Wait(delay) => now = now + delay,
        }
    }
    assert_eq!(limits, [1, 2, 4, 8, 8]);
}

/// Guards against a stale read of the store that is taken for the newest configuration.
#[test]
fn stale_read_is_repeated() {
    let mut follower = read_follower();
    let now = TimePoint(10_000_000);
    follower.topic_checked(now, Some(LogOffset(3)));
    let first = follower.next_action(now, &FollowRole::Leading);
    assert!(matches!(first, FollowAction::ReadStore(_)), "{first:?}");
    follower.store_answered(now, ConfigVersion(2), Some(LogOffset(2)));
    let later = now + Duration::from_millis(150);
    let second = follower.next_action(later, &FollowRole::Leading);
    assert!(matches!(second, FollowAction::ReadStore(_)), "{second:?}");
}

/// Guards against a leader that is cut off from the store and doesn't take what members have.
#[test]
fn leader_takes_a_version_that_a_member_announces() {
    let mut follower = read_follower();
    let now = TimePoint(10_000_000);
    follower.topic_checked(now, None);
    follower.version_announced(now, &member(4), ConfigVersion(2));
    let action = follower.next_action(now, &FollowRole::Leading);
    assert_eq!(action, FollowAction::ReadPeer(member(4)));
}

/// Guards against a node that waits for a silent leader although another node has the configuration.
#[test]
fn another_node_is_asked_if_the_leader_does_not_answer() {
    let mut follower = read_follower();
    let leader = member(1);
    let role = FollowRole::Following { leader, rank: 0 };
    let now = TimePoint(10_000_000);
    follower.topic_checked(now, Some(LogOffset(2)));
    assert_eq!(
        follower.next_action(now, &role),
        FollowAction::ReadPeer(member(1))
    );
    let later = now + Duration::from_millis(100);
    follower.version_announced(later, &member(2), ConfigVersion(2));
    assert!(matches!(
        follower.next_action(later, &role),
        FollowAction::Wait(_)
    ));
    let much_later = now + Duration::from_millis(700);
    assert_eq!(
        follower.next_action(much_later, &role),
        FollowAction::ReadPeer(member(2))
    );
    // The late failure of the leader doesn't affect what the other node has.
    follower.peer_answered(much_later, &member(1), ConfigVersion(1), None);
    let covered = LogOffset(2);
    let answer = PeerAnswer {
        covered,
        can_read_store: true,
    };
    follower.peer_answered(much_later, &member(2), ConfigVersion(2), Some(answer));
    assert_eq!(follower.waiting(much_later), None);
}
