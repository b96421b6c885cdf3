//! Several daemons that claim shards over one `claims` stream.

use std::collections::{BTreeMap, BTreeSet};

use geraniumshed_core::member::{
    ClaimTable, OwnershipPlan, OwnershipTiming, PeerView, spread_shards,
};
use geraniumshed_core::schedule::ShardMap;
use geraniumshed_model::prelude::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use rstest::rstest;

const SHARDS: u16 = 16;

fn region(name: &str) -> RegionName {
    name.parse().unwrap()
}

fn identity(number: usize, incarnation: u64) -> PeerIdentity {
    PeerIdentity {
        daemon: format!("d-{number}").parse().unwrap(),
        incarnation: DaemonIncarnation(incarnation),
        region: region(if number.is_multiple_of(2) { "a" } else { "b" }),
        zone: "z".parse().unwrap(),
        address: format!("10.0.0.{number}:1").parse().unwrap(),
    }
}

fn report(identity: &PeerIdentity, leaving: bool) -> PeerReport {
    PeerReport {
        identity: identity.clone(),
        applied: LogOffset(0),
        serving: true,
        log_silent: false,
        leaving,
        leaving_endpoints: Vec::new(),
    }
}

/// A simulated daemon.
struct Daemon {
    identity: PeerIdentity,
    plan: OwnershipPlan,
    /// The number of log entries that the daemon has read.
    read: usize,
    up: bool,
    leaving: bool,
}

/// Daemons that share a `claims` stream.
struct Cluster {
    now: TimePoint,
    map: ShardMap,
    log: Vec<Vec<ClaimEvent>>,
    log_down: bool,
    daemons: Vec<Daemon>,
    incarnations: u64,
}

impl Cluster {
    fn start(count: usize, regions: &[&str]) -> Self {
        let regions = regions.iter().map(|name| region(name)).collect();
        let mut cluster = Self {
            now: TimePoint(1),
            map: ShardMap::new(SHARDS, regions),
            log: Vec::new(),
            log_down: false,
            daemons: Vec::new(),
            incarnations: 0,
        };
        for number in 0..count {
            let daemon = cluster.new_daemon(number);
            cluster.daemons.push(daemon);
        }
        cluster
    }

    fn new_daemon(&mut self, number: usize) -> Daemon {
        self.incarnations += 1;
        let identity = identity(number, self.incarnations);
        let timing = OwnershipTiming::default();
        Daemon {
            plan: OwnershipPlan::new(identity.clone(), self.map.clone(), timing),
            identity,
            read: 0,
            up: true,
            leaving: false,
        }
    }

    fn restart(&mut self, number: usize) {
        self.daemons[number] = self.new_daemon(number);
    }

    /// Lets one daemon read the log and append the events of its plan.
    fn step(&mut self, number: usize) {
        if !self.daemons[number].up {
            return;
        }
        let live: Vec<_> = self
            .daemons
            .iter()
            .enumerate()
            .filter(|(other, daemon)| *other != number && daemon.up)
            .map(|(_, daemon)| report(&daemon.identity, daemon.leaving))
            .collect();
        let daemon = &mut self.daemons[number];
        while daemon.read < self.log.len() && !self.log_down {
            let offset = LogOffset(daemon.read as u64);
            for event in &self.log[daemon.read] {
                daemon.plan.apply(offset, event);
            }
            daemon.read += 1;
            daemon.plan.set_caught_up(true);
        }
        daemon.plan.set_caught_up(!self.log_down || daemon.read > 0);
        let yielding: Vec<_> = {
            let map = daemon.plan.owner_map(&live);
            self.map
                .shards()
                .filter(|shard| map.is_yielding(*shard))
                .collect()
        };
        for shard in yielding {
            daemon.plan.stopped(shard);
        }
        let view = PeerView {
            live: &live,
            settled: true,
            log_steady: !self.log_down,
        };
        let events = daemon.plan.tick(self.now, view);
        if events.is_empty() {
            return;
        }
        daemon.plan.set_log_down(self.log_down);
        if !self.log_down {
            self.log.push(events);
        }
    }

    /// Lets each daemon take four steps per second for some seconds.
    fn run(&mut self, seconds: u64) {
        for _ in 0..seconds * 4 {
            self.now = TimePoint(self.now.0 + 250_000);
            for number in 0..self.daemons.len() {
                self.step(number);
            }
        }
    }

    fn claims(&self) -> ClaimTable {
        let mut table = ClaimTable::default();
        for (events, offset) in self.log.iter().zip(0..) {
            for event in events {
                table.apply(LogOffset(offset), event);
            }
        }
        table
    }

    /// Returns the number of shards that each running daemon owns by the log.
    fn counts(&self) -> BTreeMap<usize, usize> {
        let claims = self.claims();
        let mut counts = BTreeMap::new();
        for (number, daemon) in self.daemons.iter().enumerate().filter(|(_, d)| d.up) {
            let incarnation = daemon.identity.incarnation;
            let owned = self
                .map
                .shards()
                .filter(|shard| claims.term_of(*shard, incarnation).is_some());
            counts.insert(number, owned.count());
        }
        counts
    }
}

#[rstest]
#[case::one(1, &["a"])]
#[case::two(2, &["a"])]
#[case::seven(7, &["a"])]
#[case::regions(6, &["a", "b"])]
#[case::more_than_shards(24, &["a"])]
fn shards_are_spread_evenly(#[case] count: usize, #[case] regions: &[&str]) {
    let mut cluster = Cluster::start(count, regions);
    cluster.run(5);
    let counts = cluster.counts();
    assert_eq!(counts.values().sum::<usize>(), usize::from(SHARDS));
    // With a single region, only the daemons of that region get shards.
    let local_count = (0..count)
        .filter(|n| regions.len() > 1 || n % 2 == 0)
        .count();
    let max_count = usize::from(SHARDS).div_ceil(local_count);
    assert!(
        counts.values().all(|owned| *owned <= max_count),
        "{counts:?}"
    );
}

#[test]
fn few_shards_move_when_a_daemon_leaves() {
    let map = ShardMap::new(64, vec![region("a")]);
    let home = region("a");
    let daemons: Vec<DaemonId> = (0..8).map(|n| format!("d-{n}").parse().unwrap()).collect();
    let all = spread_shards(&map, daemons.iter().map(|daemon| (daemon, &home)));
    let remaining = spread_shards(&map, daemons[1..].iter().map(|daemon| (daemon, &home)));
    let moved = all
        .iter()
        .filter(|(shard, daemon)| **daemon != daemons[0] && remaining[shard] != **daemon)
        .count();
    assert!(
        moved <= 16,
        "{moved} of 56 shards of the remaining daemons moved"
    );
}

#[test]
fn the_shards_of_a_dead_daemon_are_taken_over() {
    let mut cluster = Cluster::start(4, &["a"]);
    cluster.run(5);
    cluster.daemons[0].up = false;
    cluster.run(2);
    assert_eq!(
        cluster.counts().values().sum::<usize>(),
        usize::from(SHARDS)
    );
}

#[test]
fn a_new_daemon_gets_its_share_by_releases_only() {
    let mut cluster = Cluster::start(4, &["a"]);
    cluster.daemons[2].up = false;
    cluster.run(5);
    assert_eq!(cluster.counts()[&0], usize::from(SHARDS));
    cluster.restart(2);
    cluster.run(30);
    assert_eq!(cluster.counts()[&2], usize::from(SHARDS) / 2);
    let releases = cluster
        .log
        .iter()
        .flatten()
        .filter(|event| matches!(event, ClaimEvent::Release { .. }));
    assert_eq!(releases.count(), usize::from(SHARDS) / 2);
}

#[test]
fn a_planned_shutdown_releases_every_shard() {
    let mut cluster = Cluster::start(4, &["a"]);
    cluster.run(5);
    cluster.daemons[0].leaving = true;
    cluster.daemons[0].plan.leave();
    cluster.run(3);
    assert!(cluster.daemons[0].plan.is_empty());
    assert_eq!(cluster.counts()[&2], usize::from(SHARDS));
}

#[test]
fn a_restarted_daemon_claims_its_shards_in_new_terms() {
    let mut cluster = Cluster::start(1, &["a"]);
    cluster.run(2);
    let before = cluster.claims().claim(ShardId(0)).unwrap().term;
    cluster.restart(0);
    cluster.run(2);
    assert_eq!(cluster.counts()[&0], usize::from(SHARDS));
    assert!(cluster.claims().claim(ShardId(0)).unwrap().term > before);
}

#[test]
fn holds_preserve_ownership_after_the_claim_is_dropped() {
    let mut cluster = Cluster::start(1, &["a"]);
    cluster.run(700);
    let holds: Vec<_> = cluster.log.iter().skip(1).flatten().collect();
    assert_eq!(holds.len(), 2 * usize::from(SHARDS));
    let mut table = ClaimTable::default();
    for event in holds {
        table.apply(LogOffset(90), event);
    }
    let term = table.term_of(ShardId(3), cluster.daemons[0].identity.incarnation);
    assert_eq!(term, Some(ShardTerm(0)));
}

#[test]
fn the_successor_takes_care_of_shards_while_the_log_is_down() {
    let mut cluster = Cluster::start(4, &["a"]);
    cluster.run(5);
    cluster.log_down = true;
    cluster.daemons[0].up = false;
    cluster.run(5);
    let live = [report(&cluster.daemons[1].identity, false)];
    let map = cluster.daemons[2].plan.owner_map(&live);
    assert_eq!(map.caretaken().count(), usize::from(SHARDS) / 2);
    assert_eq!(map.own_shards().count(), usize::from(SHARDS) / 2);
    cluster.log_down = false;
    cluster.run(6);
    let map = cluster.daemons[2].plan.owner_map(&live);
    assert_eq!(map.caretaken().count(), 0);
    assert_eq!(map.own_shards().count(), usize::from(SHARDS));
}

#[rstest]
#[case::own_log_answers(true, SHARDS)]
#[case::own_log_is_silent_too(false, SHARDS / 2)]
fn a_peer_without_answers_from_the_log_loses_its_shards(
    #[case] log_steady: bool,
    #[case] owned: u16,
) {
    let mut cluster = Cluster::start(4, &["a"]);
    cluster.run(5);
    let mut silent = report(&cluster.daemons[0].identity, false);
    silent.log_silent = true;
    let live = [silent];
    let view = PeerView {
        live: &live,
        settled: true,
        log_steady,
    };
    let now = TimePoint(cluster.now.0 + 20_000_000);
    let claims = cluster.daemons[2].plan.tick(now, view);
    let end = LogOffset(cluster.log.len() as u64);
    for event in &claims {
        cluster.daemons[2].plan.apply(end, event);
    }
    let map = cluster.daemons[2].plan.owner_map(view.live);
    assert_eq!(map.own_shards().count(), usize::from(owned));
}

#[test]
fn owners_are_watched_by_their_successors() {
    let mut cluster = Cluster::start(6, &["a"]);
    cluster.run(5);
    let reports: Vec<_> = cluster
        .daemons
        .iter()
        .map(|daemon| report(&daemon.identity, false))
        .collect();
    let mut watched = BTreeSet::new();
    for (number, daemon) in cluster.daemons.iter().enumerate() {
        let live: Vec<_> = reports
            .iter()
            .enumerate()
            .filter(|(other, _)| *other != number)
            .map(|(_, report)| report.clone())
            .collect();
        watched.extend(daemon.plan.needed_peers(&live));
    }
    let owners: BTreeSet<DaemonId> = [0, 2, 4].map(|n| format!("d-{n}").parse().unwrap()).into();
    assert_eq!(watched, owners);
}

/// A random step: kills, restarts, shutdowns, outages of the log and pauses. A daemon that is
/// toggled off and on again was wrongly suspected to be dead by its peers.
#[derive(Debug, Clone)]
enum Step {
    Run(usize),
    ToggleDaemon(usize),
    Restart(usize),
    Leave(usize),
    ToggleLog,
    Wait(u64),
}

fn step(count: usize) -> impl Strategy<Value = Step> {
    prop_oneof![
        8 => (0..count).prop_map(Step::Run),
        2 => (0..count).prop_map(Step::ToggleDaemon),
        1 => (0..count).prop_map(Step::Restart),
        1 => (0..count).prop_map(Step::Leave),
        1 => Just(Step::ToggleLog),
        3 => (1..8_u64).prop_map(Step::Wait),
    ]
}

#[test]
fn terms_never_decrease_and_every_shard_gets_an_owner() {
    let config = Config {
        cases: 60,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[5; 32]);
    let steps = prop::collection::vec(step(5), 0..60);
    TestRunner::new_with_rng(config, rng)
        .run(&steps, |steps| {
            let mut cluster = Cluster::start(5, &["a", "b"]);
            let mut terms: BTreeMap<ShardId, ShardTerm> = BTreeMap::new();
            for step in steps {
                match step {
                    Step::Run(number) => cluster.step(number),
                    Step::ToggleDaemon(number) => cluster.daemons[number].up ^= true,
                    Step::Restart(number) => cluster.restart(number),
                    Step::Leave(number) => {
                        cluster.daemons[number].leaving = true;
                        cluster.daemons[number].plan.leave();
                    }
                    Step::ToggleLog => cluster.log_down ^= true,
                    Step::Wait(seconds) => {
                        cluster.now = TimePoint(cluster.now.0 + seconds * 1_000_000);
                    }
                }
                let claims = cluster.claims();
                for shard in cluster.map.shards() {
                    if let Some(claim) = claims.claim(shard) {
                        let before = terms.insert(shard, claim.term);
                        prop_assert!(before.is_none_or(|before| before <= claim.term));
                    }
                }
            }
            cluster.log_down = false;
            for number in 0..5 {
                cluster.restart(number);
            }
            cluster.run(20);
            let owned: usize = cluster.counts().values().sum();
            prop_assert_eq!(owned, usize::from(SHARDS));
            Ok(())
        })
        .unwrap();
}
