//! The stand-ins of a cluster through their control interface.

mod support;

use std::sync::Arc;

use geraniumshed_model::prelude::{LogOffset, LogStream, VmPhase};
use geraniumshed_platform::{
    HttpLog, HttpTimeouts, HttpVmList, ListVersion, LogClient, PlatformError, VmList,
};
use geraniumshed_standin::set::ControlServer;
use geraniumshed_standin::{StandinSet, StandinSettings};
use reqwest::Client;
use rstest::rstest;
use serde_json::{Value, json};

use support::eventually;

struct Control {
    set: Arc<StandinSet>,
    server: ControlServer,
    log: HttpLog,
    client: Client,
}

impl Control {
    fn open() -> Self {
        let settings = StandinSettings {
            proxied: true,
            ..StandinSettings::default()
        };
        let set = Arc::new(StandinSet::open(settings).unwrap());
        let server = ControlServer::bind(Arc::clone(&set)).unwrap();
        let log = HttpLog::open(set.log_address(), HttpTimeouts::default());
        let client = Client::builder().no_proxy().build().unwrap();
        Self {
            set,
            server,
            log,
            client,
        }
    }

    async fn get(&self, path: &str) -> Value {
        let url = format!("http://{}{path}", self.server.address());
        let response = self.client.get(url).send().await.unwrap();
        assert_eq!(response.status().as_u16(), 200);
        response.json().await.unwrap()
    }

    async fn inject(&self, fault: &Value) -> (u16, String) {
        let url = format!("http://{}/faults", self.server.address());
        let response = self.client.post(url).json(fault).send().await.unwrap();
        (response.status().as_u16(), response.text().await.unwrap())
    }
}

#[tokio::test]
async fn the_status_lists_each_worker_with_its_zone_and_rack() {
    let control = Control::open();
    let status = control.get("/status").await;
    let workers = status["workers"].as_array().unwrap();
    assert_eq!(workers.len(), control.set.settings().workers.count);
    assert_eq!(workers[1]["zone"], "zone-b");
    assert_eq!(workers[1]["rack"], "zone-b-rack-0");
    let list = HttpVmList::open(control.set.vm_list_address(), HttpTimeouts::default());
    let page = eventually(async || {
        let page = list.changes(ListVersion(0)).await.unwrap();
        // Each worker becomes visible after its own lag, so the first pages may be incomplete.
        (page.entries.len() >= workers.len()).then_some(page)
    })
    .await;
    assert_eq!(page.entries.len(), workers.len());
    assert_eq!(workers[1]["address"], page.entries[1].address.to_string());
}

#[tokio::test]
async fn faults_are_injected_and_cleared() {
    let control = Control::open();
    let (status, _) = control.inject(&json!({ "log": { "down": true } })).await;
    assert_eq!(status, 204);
    let error = control.log.append(LogStream::Config, "x".into()).await;
    assert!(matches!(error, Err(PlatformError::Unavailable { .. })));
    control.inject(&json!({ "log": {} })).await;
    let offset = control.log.append(LogStream::Config, "x".into()).await;
    assert_eq!(offset, Ok(LogOffset(0)));
    let traffic = control.get("/traffic").await;
    assert_eq!(traffic["log"]["routes"]["append config"]["calls"], 2);
    assert!(traffic["log"]["bytes_in"].as_u64().unwrap() > 0);
}

#[tokio::test]
async fn a_leaving_vm_is_recorded_with_the_time_at_which_the_list_shows_it() {
    let control = Control::open();
    let fault = json!({ "vm-phase": { "vm": "worker-0", "phase": "leaving" } });
    assert_eq!(control.inject(&fault).await.0, 204);
    let record = control.get("/record").await;
    assert_eq!(record["leavings"][0]["name"], "worker-0");
    assert!(record["leavings"][0]["since"].as_u64().unwrap() >= 1_000_000);
    let report = control.get("/report").await;
    assert_eq!(report["rows"].as_array().unwrap().len(), 8);
}

#[tokio::test]
async fn the_list_shows_a_killed_worker_as_gone() {
    let control = Control::open();
    let vm = "worker-2".parse().unwrap();
    control.set.kill_worker(&vm).unwrap();
    let list = HttpVmList::open(control.set.vm_list_address(), HttpTimeouts::default());
    eventually(async || {
        let page = list.changes(ListVersion(0)).await.unwrap();
        let mut gone = page.entries.iter().filter(|e| e.phase == VmPhase::Gone);
        gone.any(|entry| entry.vm == vm).then_some(())
    })
    .await;
}

#[rstest]
#[case::unknown_vm(json!({ "worker": { "vm": "nobody", "switch": "kill" } }), "no VM `nobody`")]
#[case::bad_name(json!({ "vm-phase": { "vm": "a b", "phase": "gone" } }), "not a valid VM id")]
#[case::unknown_fault(json!({ "weather": {} }), "unknown variant `weather`")]
#[case::unknown_field(json!({ "log": { "colour": 1 } }), "unknown field `colour`")]
#[tokio::test]
async fn an_invalid_fault_is_rejected_with_its_reason(
    #[case] fault: Value,
    #[case] expected: &str,
) {
    let control = Control::open();
    let (status, text) = control.inject(&fault).await;
    assert_eq!(status, 400);
    assert!(text.contains(expected), "{text}");
}
