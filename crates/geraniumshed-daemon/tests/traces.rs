//! A complete trace, read from a minimal collector.

use std::sync::{Arc, Mutex};

use geraniumshed_daemon::settings::{DaemonIdentity, TelemetrySettings};
use geraniumshed_daemon::telemetry::{HopName, HopSpan, TraceHandle};
use http::HeaderMap;
use serde_json::Value;
use warp::Filter;

const CALLER: &str = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";

/// Spawns a collector that adds exported spans to `bodies`, and returns its URL.
async fn spawn_collector(bodies: Arc<Mutex<Vec<Value>>>) -> String {
    let route = warp::path!("v1" / "traces")
        .and(warp::body::json())
        .map(move |body: Value| {
            bodies.lock().unwrap().push(body);
            warp::reply::json(&serde_json::json!({}))
        });
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(warp::serve(route).incoming(listener).run());
    format!("http://{address}/v1/traces")
}

fn spans(bodies: &[Value]) -> Vec<&Value> {
    bodies
        .iter()
        .flat_map(|body| body["resourceSpans"].as_array().unwrap())
        .flat_map(|resource| resource["scopeSpans"].as_array().unwrap())
        .flat_map(|scope| scope["spans"].as_array().unwrap())
        .collect()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn each_hop_of_a_request_is_a_span_of_the_callers_trace() {
    let mut headers = HeaderMap::new();
    headers.insert("traceparent", CALLER.parse().unwrap());

    // Without an exporter, the caller's `traceparent` is propagated unchanged.
    let mut passed = HeaderMap::new();
    HopSpan::receive(HopName::Accept, &headers)
        .child(HopName::Attempt)
        .inject(&mut passed);
    assert_eq!(passed["traceparent"], CALLER);

    let bodies = Arc::default();
    let settings = TelemetrySettings {
        traces: Some(spawn_collector(Arc::clone(&bodies)).await.into()),
        ..TelemetrySettings::default()
    };
    let identity = DaemonIdentity {
        id: "entry-1".parse().unwrap(),
        region: "montevideo".parse().unwrap(),
        zone: "mvd-1".parse().unwrap(),
    };
    let handle = TraceHandle::open(&settings, &identity).unwrap().unwrap();

    // The first daemon forwards the request; the second one queues it and tries two endpoints.
    let accept = HopSpan::receive(HopName::Accept, &headers);
    let forward = accept.child(HopName::Forward);
    let mut wire = HeaderMap::new();
    forward.inject(&mut wire);
    let remote = HopSpan::receive(HopName::Accept, &wire);
    drop(remote.child(HopName::Queue));
    drop(remote.child(HopName::LogAppend));
    let first = remote.child(HopName::Attempt);
    first.set("attempt", 1);
    first.fail("endpoint refused");
    drop(first);
    let second = remote.child(HopName::Attempt);
    let mut endpoint = HeaderMap::new();
    second.inject(&mut endpoint);
    drop((second, remote, forward, accept));
    tokio::task::spawn_blocking(|| handle.close())
        .await
        .unwrap();

    let bodies: Vec<Value> = bodies.lock().unwrap().clone();
    let spans = spans(&bodies);
    let trace = CALLER.split('-').nth(1).unwrap();
    assert!(
        spans.iter().all(|span| span["traceId"] == trace),
        "{spans:#?}"
    );
    let parent_name = |span: &Value| {
        let parent = &span["parentSpanId"];
        let found = spans.iter().find(|span| span["spanId"] == *parent);
        found
            .map_or("caller", |span| span["name"].as_str().unwrap())
            .to_owned()
    };
    let mut hops: Vec<(String, String)> = spans
        .iter()
        .map(|span| (parent_name(span), span["name"].as_str().unwrap().to_owned()))
        .collect();
    hops.sort();
    let expected = [
        ("accept", "attempt"),
        ("accept", "attempt"),
        ("accept", "forward"),
        ("accept", "log append"),
        ("accept", "queue"),
        ("caller", "accept"),
        ("forward", "accept"),
    ];
    let expected = expected.map(|(parent, name)| (parent.to_owned(), name.to_owned()));
    assert_eq!(hops, expected);
    assert!(endpoint["traceparent"].to_str().unwrap().contains(trace));
    assert!(bodies[0].to_string().contains("mvd-1"));
}
