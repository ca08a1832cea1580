//! Guarantees of a deployment while data centres, balancers, agents and the store fail or change.

mod common;

use std::{
    net::SocketAddr,
    time::{
        Duration,
        Instant, //
    },
};

use carobdrum_caller::{
    CallerFlow,
    CallerRequest,
    CloseReason, //
};
use carobdrum_control::{
    unix_millis,
    KeyWrapper, //
};
use carobdrum_standins::{
    PortMode,
    ServiceTime,
    StoreServer, //
};
use common::{
    TestSite,
    POOLS, //
};
use rand::{
    rngs::StdRng,
    SeedableRng, //
};
use rstest::rstest;

/// Store key of the key ring.
const KEYS: &str = "carobdrum/test/keys";

/// Time limit for an accepted edit to be in force at all processes.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(3);

async fn start_two_centres(net: u8) -> TestSite {
    let mut site = TestSite::start(net, 2).await;
    site.apply(&site.routes(), POOLS).await;
    for _ in 0..3 {
        site.add_balancer("galway-a");
    }
    site.add_agent("galway-a");
    site.add_agent("galway-b");
    site
}

fn pools_without(data_centre: &str) -> String {
    let name = format!("name = '{data_centre}'");
    POOLS.replace(&name, &format!("{name}\nstate = 'out'"))
}

/// Guards against flows that stay open in an evacuated data centre, whose callers would wait in
/// vain, against broken flows elsewhere, and against a data centre that can't return.
#[tokio::test(flavor = "multi_thread")]
async fn evacuation_and_return_of_a_centre_harm_no_flow_elsewhere() {
    let site = start_two_centres(61).await;
    let staying = site.connect_when(|name| name.ends_with('0')).await;
    let leaving = site.connect_when(|name| name.ends_with('1')).await;
    let start = Instant::now();
    site.apply(&site.routes(), &pools_without("galway-b")).await;
    let reason = tokio::time::timeout(IN_FORCE_LIMIT, leaving.closed()).await;
    reason.expect("flow not closed within 3 s");
    println!("flow closed after {:?}", start.elapsed());
    for _ in 0..8 {
        site.connect_when(|name| name.ends_with('0')).await;
    }
    staying
        .request(CallerRequest::get("/bytes/9?seed=1"))
        .await
        .expect("request failed");
    site.apply(&site.routes(), POOLS).await;
    site.connect_when(|name| name.ends_with('1')).await;
    staying
        .request(CallerRequest::get("/bytes/9?seed=1"))
        .await
        .expect("request failed");
}

/// Guards against open and new flows that depend on the store, and against a balancer that can't
/// start while the store is down.
#[tokio::test(flavor = "multi_thread")]
async fn flows_continue_and_open_while_the_store_is_down() {
    let mut site = start_two_centres(62).await;
    let flow = site.connect().await;
    site.store.set_mode(PortMode::Refusing).await;
    site.bootstrap = vec![(site.balancer_ip(0), 7400)];
    site.add_balancer("galway-a");
    // The fabric knows only the new balancer, so it gets every packet.
    wait_until_forwarded(&site, &flow, 3).await;
    site.connect().await;
}

/// Starts a store with the same version and key ring, but without entry points.
async fn copy_store_without_entry_points(store: &StoreServer) -> StoreServer {
    let copy = StoreServer::start(SocketAddr::from((store.address().ip(), 8501)))
        .await
        .expect("cannot start the store");
    for key in ["carobdrum/test/tables/current", "carobdrum/test/keys"] {
        copy.set_value(key, store.value(key).expect("key not in the store"));
    }
    copy
}

/// Sends requests on an open flow through one balancer until that has forwarded one.
async fn wait_until_forwarded(site: &TestSite, flow: &CallerFlow, balancer: usize) {
    let deadline = Instant::now() + Duration::from_secs(10);
    loop {
        site.fabric.set_balancers([site.balancer_ip(balancer)]);
        let request = CallerRequest::get("/bytes/9?seed=1").timeout(Duration::from_millis(500));
        if flow.request(request).await.is_ok() {
            return;
        }
        assert!(
            Instant::now() < deadline,
            "the new balancer didn't forward a request within 10 s"
        );
    }
}

/// Guards against a balancer that forwards established flows and places no new ones for as long as the
/// store is down, because it knows the version and the key ring and no other member: it has read the
/// store before the others had registered there, or has joined through such a balancer.
#[rstest]
#[case::itself(48, false)]
#[case::its_only_peer(49, true)]
#[tokio::test(flavor = "multi_thread")]
async fn a_balancer_without_members_finds_them_through_established_flows(
    #[case] net: u8,
    #[case] through_peer: bool,
) {
    let mut site = start_two_centres(net).await;
    let flow = site.connect().await;
    let isolated = copy_store_without_entry_points(&site.store).await;
    let store = std::mem::replace(&mut site.store, isolated);
    site.add_balancer("galway-a");
    wait_until_version(&site, 3).await;
    site.store.set_mode(PortMode::Refusing).await;
    store.set_mode(PortMode::Refusing).await;
    if through_peer {
        site.bootstrap = vec![(site.balancer_ip(3), 7400)];
        site.add_balancer("galway-a");
    }
    let newest = site.balancers.len() - 1;
    wait_until_forwarded(&site, &flow, newest).await;
    site.connect().await;
}

/// Waits until the balancer has a version in force.
async fn wait_until_version(site: &TestSite, balancer: usize) {
    let deadline = Instant::now() + Duration::from_secs(10);
    while site.versions().await[balancer] == 0 {
        assert!(Instant::now() < deadline, "no version within 10 s");
    }
}

/// Guards against a caller that waits for an agent that has lost its flows: a restarted agent must
/// send a stateless reset.
#[tokio::test(flavor = "multi_thread")]
async fn restarted_agent_resets_flows_of_its_predecessor() {
    let mut site = start_two_centres(63).await;
    let flow = site.connect_when(|name| name.ends_with('1')).await;
    // A killed process sends nothing more. This agent is shut down gracefully, so the fabric drops
    // what it sends.
    site.fabric.set_loss(1.0);
    site.stop_agent(1).await;
    site.agents.truncate(1);
    site.add_agent("galway-b");
    tokio::time::sleep(Duration::from_millis(500)).await;
    site.fabric.set_loss(0.0);
    let request = flow.request(CallerRequest::get("/whoami").timeout(Duration::from_secs(8)));
    request
        .await
        .expect_err("request succeeded on a flow of the stopped agent");
    let reason = tokio::time::timeout(IN_FORCE_LIMIT, flow.closed()).await;
    assert_eq!(
        reason.expect("flow not closed in time"),
        CloseReason::StatelessReset
    );
}

/// Guards against broken downloads while all balancers are replaced one after another.
#[tokio::test(flavor = "multi_thread")]
async fn downloads_survive_the_replacement_of_every_balancer() {
    let mut site = start_two_centres(64).await;
    let flow = site.connect().await;
    let download = tokio::spawn(async move {
        let mut complete = 0;
        for _ in 0..40 {
            let path = "/bytes/2000000?seed=4";
            let request = CallerRequest::get(path).timeout(Duration::from_secs(10));
            let response = flow.request(request).await.expect("request failed");
            assert!(response.body == carobdrum_standins::body_chunk(4, 0, 2_000_000));
            complete += 1;
            tokio::time::sleep(Duration::from_millis(40)).await;
        }
        complete
    });
    for index in 0..3 {
        site.add_balancer("galway-a");
        tokio::time::sleep(Duration::from_millis(700)).await;
        site.stop_balancer(index).await;
        let live: Vec<_> = (0..site.balancers.len())
            .filter(|&at| site.balancers[at].is_some())
            .map(|at| site.balancer_ip(at))
            .collect();
        site.fabric.set_balancers(live);
    }
    assert_eq!(download.await.expect("a download failed"), 40);
}

/// Guards against an edit that takes longer than 3 s to be in force, also while the store is slow,
/// and against a process that goes back to an older version.
#[tokio::test(flavor = "multi_thread")]
async fn edit_is_in_force_everywhere_within_three_seconds() {
    let site = start_two_centres(65).await;
    site.connect().await;
    site.store.set_delay(Duration::from_millis(50));
    let mut last = vec![0; 5];
    for edit in 2..6 {
        site.apply(&site.routes(), POOLS).await;
        let start = Instant::now();
        loop {
            let found = site.versions().await;
            for (older, newer) in last.iter().zip(&found) {
                assert!(
                    newer >= older,
                    "a process went from version {older} to {newer}"
                );
            }
            last = found;
            if last.iter().all(|&number| number == edit) {
                println!("version {edit} in force after {:?}", start.elapsed());
                break;
            }
            assert!(
                start.elapsed() < IN_FORCE_LIMIT,
                "versions in force: {last:?}"
            );
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
}

/// Guards against flows that break, and packets that balancers drop, when the fleet key is rotated.
#[tokio::test(flavor = "multi_thread")]
async fn flows_survive_key_rotations() {
    let site = start_two_centres(66).await;
    let old = site.connect().await;
    let wrapper = KeyWrapper::new(&[0x5a; 32]);
    let mut random = StdRng::seed_from_u64(66);
    for _ in 0..2 {
        let wrapped = site.store.value(KEYS).expect("no key ring in the store");
        let ring = wrapper
            .unwrap(&wrapped)
            .expect("cannot unwrap the key ring");
        let rotated = wrapper.rotate(&ring, &mut random);
        site.store
            .set_value(KEYS, wrapper.wrap(&rotated, &mut random));
        tokio::time::sleep(IN_FORCE_LIMIT).await;
        let request = || CallerRequest::get("/bytes/200000?seed=6").timeout(IN_FORCE_LIMIT);
        // The first key is in the ring after one rotation but not after two; by then the flow must
        // have got connection IDs sealed with a newer key.
        if rotated.key(0).is_some() {
            old.request(request())
                .await
                .expect("request failed on the old flow");
        }
        let new_flow = site.connect().await;
        new_flow
            .request(request())
            .await
            .expect("request failed on a new flow");
    }
}

/// Guards against a key ring that is never rotated, because its age starts anew with each new holder of the
/// entry point.
#[rstest]
#[case::old(27, 2)]
#[case::recent(23, 1)]
#[tokio::test(flavor = "multi_thread")]
async fn a_new_holder_rotates_an_old_key_ring(#[case] age_h: u64, #[case] version: u32) {
    let mut site = TestSite::start(71 + version as u8, 1).await;
    let wrapper = KeyWrapper::new(&[0x5a; 32]);
    let mut random = StdRng::seed_from_u64(68);
    let age = Duration::from_secs(age_h * 3_600).as_millis() as u64;
    let ring = wrapper.initial_ring(&mut random);
    let ring = ring.with_creation_ms(unix_millis() - age);
    site.store.set_value(KEYS, wrapper.wrap(&ring, &mut random));
    site.apply(&site.routes(), POOLS).await;
    site.add_balancer("galway-a");
    tokio::time::sleep(IN_FORCE_LIMIT).await;
    let wrapped = site.store.value(KEYS).expect("no key ring in the store");
    let found = wrapper.unwrap(&wrapped);
    assert_eq!(
        found.expect("cannot unwrap the key ring").version(),
        version
    );
}

/// Guards against an agent that uses a renewed certificate only after a restart.
#[tokio::test(flavor = "multi_thread")]
async fn renewed_certificate_is_used_without_a_restart() {
    let site = start_two_centres(67).await;
    let old = site.connect().await;
    site.renew_certificate();
    let deadline = Instant::now() + Duration::from_secs(15);
    // The callers opened from now on trust only the new certificate.
    while site.caller().connect(site.service().into()).await.is_err() {
        assert!(
            Instant::now() < deadline,
            "the new certificate was not in use within 15 s"
        );
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
    old.request(CallerRequest::get("/whoami"))
        .await
        .expect("request failed on the old flow");
}

/// Guards against new flows to a server whose agent is shutting down, and against callers that are
/// refused because balancers still place flows on it.
#[tokio::test(flavor = "multi_thread")]
async fn draining_server_gets_no_new_flows() {
    let mut site = start_two_centres(68).await;
    let staying = site.connect_when(|name| name.ends_with('0')).await;
    let flow = site.connect_when(|name| name.ends_with('1')).await;
    // Both servers get the same load, so that balancers don't avoid one because of its load.
    for server in &site.servers {
        server.set_service_time(ServiceTime::Fixed(Duration::from_secs(3)));
    }
    let other = tokio::spawn(async move { staying.request(CallerRequest::get("/whoami")).await });
    let running = tokio::spawn(async move { flow.request(CallerRequest::get("/whoami")).await });
    tokio::time::sleep(Duration::from_millis(300)).await;
    for server in &site.servers {
        server.set_service_time(ServiceTime::Fixed(Duration::ZERO));
    }
    let leaving = site.agents[1].take().expect("agent is not running");
    let leaving = tokio::task::spawn_blocking(move || leaving.stop());
    tokio::time::sleep(Duration::from_secs(1)).await;
    for _ in 0..20 {
        let flow = site
            .caller()
            .connect(site.service().into())
            .await
            .expect("cannot open a flow");
        let response = flow
            .request(CallerRequest::get("/whoami"))
            .await
            .expect("request failed");
        assert_eq!(response.target(), Some("placename-api-0"));
    }
    running
        .await
        .expect("request task panicked")
        .expect("request failed");
    other
        .await
        .expect("request task panicked")
        .expect("request failed");
    leaving.await.expect("stopping the agent panicked");
}

/// Guards against a caller that gets no response, because it sends nothing while it waits and the
/// balancer that forwarded its request stops: the agent must respond through another balancer.
#[tokio::test(flavor = "multi_thread")]
async fn waiting_caller_gets_its_response_after_its_balancer_stopped() {
    let mut site = TestSite::start(69, 1).await;
    site.apply(&site.routes(), POOLS).await;
    site.add_balancer("galway-a");
    site.add_balancer("galway-a");
    site.add_agent("galway-a");
    site.fabric.set_balancers([site.balancer_ip(0)]);
    let waiting = site.connect().await;
    // The second flow must not hide that the first one sends nothing.
    let busy = site.connect().await;
    site.servers[0].set_service_time(ServiceTime::Fixed(Duration::from_secs(3)));
    let path = "/bytes/400000?seed=9";
    let response = tokio::spawn(async move { waiting.request(CallerRequest::get(path)).await });
    tokio::time::sleep(Duration::from_millis(300)).await;
    site.servers[0].set_service_time(ServiceTime::Fixed(Duration::ZERO));
    site.fabric.set_balancers([site.balancer_ip(1)]);
    site.stop_balancer(0).await;
    let start = Instant::now();
    while start.elapsed() < Duration::from_secs(4) {
        busy.request(CallerRequest::get("/bytes/9?seed=1"))
            .await
            .expect("request failed");
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    assert!(
        response.is_finished(),
        "no response 1 s after the server sent it"
    );
    let response = response
        .await
        .expect("request task panicked")
        .expect("request failed");
    assert!(response.body == carobdrum_standins::body_chunk(9, 0, 400_000));
}

/// Guards against a caller that gets no response before it sends a keep-alive packet, because the agent's only flow
/// sends nothing while the balancer that forwarded its request stops: none of those that are left has sent the agent
/// anything since.
#[rstest]
#[case::one_stopped(74, 1)]
#[case::two_stopped(75, 2)]
#[tokio::test(flavor = "multi_thread")]
async fn only_caller_gets_its_response_after_its_balancer_stopped(
    #[case] net: u8,
    #[case] stopped: usize,
) {
    let mut site = TestSite::start(net, 1).await;
    site.apply(&site.routes(), POOLS).await;
    for _ in 0..=stopped {
        site.add_balancer("galway-a");
    }
    site.add_agent("galway-a");
    let flow = site.connect().await;
    // The balancers send to the agent one after another; the last one is left.
    for index in (0..=stopped).rev() {
        wait_until_forwarded(&site, &flow, index).await;
    }
    site.servers[0].set_service_time(ServiceTime::Fixed(Duration::from_secs(2)));
    let path = "/bytes/400000?seed=9";
    let response = tokio::spawn(async move { flow.request(CallerRequest::get(path)).await });
    tokio::time::sleep(Duration::from_millis(300)).await;
    site.fabric.set_balancers([site.balancer_ip(stopped)]);
    for index in 0..stopped {
        site.stop_balancer(index).await;
    }
    // The server works for 2 s, and the caller's next keep-alive packet is due 5 s after its request.
    let response = tokio::time::timeout(Duration::from_secs(4), response).await;
    let response = response
        .expect("no response within 2 s after the server sent it")
        .expect("request task panicked")
        .expect("request failed");
    assert!(response.body == carobdrum_standins::body_chunk(9, 0, 400_000));
}

/// Guards against a slow response that leaves a balancer that forwards, and goes by one that has stopped, because its
/// caller has sent nothing while it waits.
#[tokio::test(flavor = "multi_thread")]
async fn slow_response_goes_by_the_balancer_that_forwarded_its_request() {
    let mut site = TestSite::start(77, 1).await;
    site.apply(&site.routes(), POOLS).await;
    site.add_balancer("galway-a");
    site.add_balancer("galway-a");
    site.add_agent("galway-a");
    let flow = site.connect().await;
    wait_until_forwarded(&site, &flow, 1).await;
    site.stop_balancer(1).await;
    wait_until_forwarded(&site, &flow, 0).await;
    site.servers[0].set_service_time(ServiceTime::Fixed(Duration::from_secs(7)));
    // The caller sends a keep-alive packet after 5 s; it doesn't answer the acknowledgement.
    let start = Instant::now();
    let response = flow.request(CallerRequest::get("/bytes/400000?seed=9"));
    let response = response.await.expect("request failed");
    let delay = start.elapsed() - Duration::from_secs(7);
    assert!(delay < Duration::from_millis(500), "{delay:?} late");
    assert!(response.body == carobdrum_standins::body_chunk(9, 0, 400_000));
}

/// Guards against a planned stop of a balancer that waits for a slow store for longer than its limit of 500 ms.
#[tokio::test(flavor = "multi_thread")]
async fn a_slow_store_does_not_delay_the_stop_of_a_balancer() {
    let mut site = start_two_centres(76).await;
    site.connect().await;
    site.store.set_delay(Duration::from_secs(10));
    // Each of them has a call to the store under way.
    tokio::time::sleep(Duration::from_secs(1)).await;
    for index in 0..site.balancers.len() {
        let start = Instant::now();
        site.stop_balancer(index).await;
        let elapsed = start.elapsed();
        assert!(elapsed < Duration::from_millis(900), "{elapsed:?}");
    }
}
