//! The VM list's client against its stand-in.

use std::time::Duration;

use geraniumshed_model::prelude::{ResourceSize, VmEntry, VmId, VmPhase, VmRole};
use geraniumshed_platform::{HttpTimeouts, HttpVmList, ListVersion, PlatformError, VmList, VmPage};
use geraniumshed_standin::VmListServer;
use geraniumshed_standin::clock::StandinClock;
use geraniumshed_standin::vm_list::VmListMode;

struct List {
    server: VmListServer,
    client: HttpVmList,
}

fn open_list(mode: VmListMode) -> List {
    let server = VmListServer::bind(0, StandinClock::start(), mode).unwrap();
    let client = HttpVmList::open(server.address(), HttpTimeouts::default());
    List { server, client }
}

fn vm(name: &str) -> VmEntry {
    VmEntry {
        vm: name.parse().unwrap(),
        role: VmRole::Worker,
        phase: VmPhase::Live,
        region: "region-1".parse().unwrap(),
        zone: "zone-a".parse().unwrap(),
        rack: "rack-0".parse().unwrap(),
        address: "127.0.0.1:1".parse().unwrap(),
        size: ResourceSize::default(),
    }
}

fn names(page: &VmPage) -> Vec<(&str, VmPhase)> {
    let entries = page.entries.iter();
    entries
        .map(|entry| (entry.vm.as_str(), entry.phase))
        .collect()
}

#[tokio::test]
async fn only_changes_since_the_version_are_returned() {
    let list = open_list(VmListMode::default());
    list.server.set(vm("w1"));
    list.server.set(vm("w2"));
    let page = list.client.changes(ListVersion(0)).await.unwrap();
    assert!(page.whole);
    assert_eq!(page.entries, [vm("w1"), vm("w2")]);
    let w1: VmId = "w1".parse().unwrap();
    assert!(list.server.set_phase(&w1, VmPhase::Leaving));
    let next = list.client.changes(page.version).await.unwrap();
    assert!(!next.whole);
    assert_eq!(names(&next), [("w1", VmPhase::Leaving)]);
    let none = list.client.changes(next.version).await.unwrap();
    assert!(none.entries.is_empty());
}

#[tokio::test]
async fn changes_become_visible_after_the_lag() {
    let lag = Duration::from_secs(1);
    let list = open_list(VmListMode {
        lag,
        ..VmListMode::default()
    });
    list.server.set(vm("w1"));
    let early = list.client.changes(ListVersion(0)).await.unwrap();
    assert_eq!(early.age.0, lag);
    assert!(early.entries.is_empty());
    tokio::time::sleep(lag).await;
    let late = list.client.changes(early.version).await.unwrap();
    assert_eq!(names(&late), [("w1", VmPhase::Live)]);
}

#[tokio::test]
async fn a_list_shown_as_empty_is_whole_before_and_after_the_fault_ends() {
    let list = open_list(VmListMode::default());
    list.server.set(vm("w1"));
    let before = list.client.changes(ListVersion(0)).await.unwrap();
    list.server.set_mode(VmListMode {
        empty: true,
        ..VmListMode::default()
    });
    let empty = list.client.changes(before.version).await.unwrap();
    assert!(empty.whole && empty.entries.is_empty());
    list.server.set_mode(VmListMode::default());
    let after = list.client.changes(empty.version).await.unwrap();
    assert!(after.whole);
    assert_eq!(names(&after), [("w1", VmPhase::Live)]);
}

#[tokio::test]
async fn a_list_that_is_down_returns_unavailable() {
    let list = open_list(VmListMode {
        down: true,
        ..VmListMode::default()
    });
    let error = list.client.changes(ListVersion(0)).await.unwrap_err();
    assert!(
        matches!(error, PlatformError::Unavailable { .. }),
        "{error}"
    );
}
