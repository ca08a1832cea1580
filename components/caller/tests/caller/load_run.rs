//! Tests of load runs against a simple HTTP/3 server.

use std::{
    sync::atomic::Ordering,
    time::Duration, //
};

use carobdrum_caller::{
    CallerClient,
    LoadBuilder,
    LoadError,
    LoadRun,
    RequestMix, //
};
use compact_str::format_compact;
use rstest::rstest;
use tokio::time::timeout;

use crate::plain_server::{
    stream_chunk,
    PlainServer,
    SERVER_NAME, //
};

fn load_of(server: &PlainServer) -> LoadBuilder {
    let client = CallerClient::builder(SERVER_NAME)
        .root_der(server.certificate.clone())
        .unwrap();
    LoadRun::builder(client, server.address, stream_chunk)
        .duration(Duration::from_secs(5))
        .large_len(100_000)
}

/// Guards against requests that a load loses or miscounts.
#[rstest]
#[case::closed_loop(None)]
#[case::fixed_rate(Some(400.0))]
#[tokio::test]
async fn every_request_is_counted(#[case] rate: Option<f64>) {
    let server = PlainServer::start();
    let run = load_of(&server).requests(Some(300)).rate(rate);
    let report = run.build().unwrap().run().await.unwrap();
    assert_eq!(report.requests, 300);
    assert_eq!(report.succeeded, 300);
    assert_eq!(report.wrong_answers, 0);
    assert_eq!(report.flows_broken, 0, "{:?}", report.broken_flows);
    assert_eq!(report.goodput_per_s.iter().sum::<u64>(), 300);
    assert_eq!(report.targets[0].count, 300);
    assert_eq!(report.imbalance, 1.0);
    assert!(report.latency_ms.p50 > 0.0);
}

/// Guards against a wrong byte in a response that isn't detected.
#[tokio::test]
async fn wrong_responses_are_detected() {
    let server = PlainServer::start();
    let client = CallerClient::builder(SERVER_NAME)
        .root_der(server.certificate.clone())
        .unwrap();
    let corrupt_stream = |seed, offset, len| {
        let mut chunk = stream_chunk(seed, offset, len).to_vec();
        if let Some(last) = chunk.last_mut() {
            *last ^= 1;
        }
        chunk.into()
    };
    let run = LoadRun::builder(client, server.address, corrupt_stream)
        .requests(Some(50))
        .request_mix(RequestMix {
            echo: 0,
            ..RequestMix::default()
        });
    let report = run.build().unwrap().run().await.unwrap();
    assert_eq!(report.wrong_answers, 50);
    assert!(!report.is_correct());
}

/// Guards against a POST request that runs twice, or isn't retried although it didn't run.
#[tokio::test]
async fn post_runs_at_most_once() {
    let server = PlainServer::start();
    let request_mix = RequestMix {
        small: 0,
        large: 0,
        echo: 0,
        record: 1,
    };
    let run = load_of(&server)
        .requests(Some(90))
        .request_mix(request_mix)
        .repeats(10);
    let report = run.build().unwrap().run().await.unwrap();
    assert_eq!(server.runs.load(Ordering::Relaxed), 90);
    assert!(report.refused_not_run >= 20, "{report:?}");
    assert!(report.unknown >= 5, "{report:?}");
    assert_eq!(report.failed, report.unknown);
    assert_eq!(report.succeeded + report.unknown, 90);
}

/// Guards against a lost flow that isn't reported or isn't replaced.
#[tokio::test]
async fn broken_flows_are_reported_and_replaced() {
    let mut server = PlainServer::start();
    let run = load_of(&server).flows(4).rate(Some(200.0));
    let run = run.build().unwrap();
    let stop = run.stop_signal();
    let running = tokio::spawn(run.run());
    tokio::time::sleep(Duration::from_millis(700)).await;
    server.restart_without_state().await;
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    stop.stop();
    let report = running.await.unwrap().unwrap();
    assert_eq!(report.flows_broken, 4, "{:?}", report.broken_flows);
    assert_eq!(report.flows_opened, 8);
    assert_eq!(report.broken_flows[0].cause, "stateless reset");
    assert_eq!(report.broken_flows[0].target, "plain-1");
    assert_eq!(report.wrong_answers, 0);
}

/// Guards against a broken flow whose server is unknown, although all flows were to have had a response.
#[tokio::test]
async fn answered_flows_name_their_server() {
    let mut server = PlainServer::start();
    let run = load_of(&server).flows(4).rate(Some(200.0));
    let run = run.build().unwrap();
    let (stop, progress) = (run.stop_signal(), run.progress());
    let running = tokio::spawn(run.run());
    progress.wait_for_answered_flows(4).await;
    server.restart_without_state().await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    stop.stop();
    let report = running.await.unwrap().unwrap();
    assert_eq!(progress.succeeded(), report.succeeded);
    assert!(report.flows_broken > 0);
    for flow in &report.broken_flows {
        assert_eq!(flow.target, "plain-1", "{flow:?}");
    }
    let waiting = progress.wait_for_answered_flows(1);
    let is_ended = timeout(Duration::ZERO, waiting).await.is_err();
    assert!(is_ended, "a flow that has ended is counted");
}

/// Guards against a broken flow whose server is unknown because it had no response.
#[tokio::test]
async fn flows_without_a_response_name_their_owner() {
    let mut server = PlainServer::start();
    let client = CallerClient::builder(SERVER_NAME)
        .root_der(server.certificate.clone())
        .unwrap()
        .keep_alive(Some(Duration::from_millis(100)));
    let run = LoadRun::builder(client, server.address, stream_chunk)
        .flows(4)
        .rate(Some(0.5))
        .owner(|port| format_compact!("owner of {port}"))
        .build()
        .unwrap();
    let stop = run.stop_signal();
    let running = tokio::spawn(run.run());
    tokio::time::sleep(Duration::from_millis(300)).await;
    server.restart_without_state().await;
    // The flows notice the restart when they send their next keep-alive packet.
    tokio::time::sleep(Duration::from_secs(1)).await;
    stop.stop();
    let report = running.await.unwrap().unwrap();
    let mut owners: Vec<_> = report
        .broken_flows
        .iter()
        .map(|flow| &flow.target)
        .collect();
    owners.retain(|owner| owner.starts_with("owner of "));
    owners.sort();
    owners.dedup();
    assert!(owners.len() >= 3, "{:?}", report.broken_flows);
}

/// Guards against settings that exceed the bounds of a load.
#[rstest]
#[case::flows(|load: LoadBuilder| load.flows(0))]
#[case::rate(|load: LoadBuilder| load.rate(Some(1e9)))]
#[case::time(|load: LoadBuilder| load.duration(Duration::from_secs(7_200)))]
#[case::memory(|load: LoadBuilder| load.max_concurrent(4_000).large_len(60 << 20))]
#[tokio::test]
async fn out_of_range_settings_are_rejected(#[case] change: fn(LoadBuilder) -> LoadBuilder) {
    let server = PlainServer::start();
    let rejected = change(load_of(&server)).build().err();
    assert!(matches!(rejected, Some(LoadError::OutOfRange { .. })));
}
