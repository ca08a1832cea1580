//! What the whole system promises while data centres, balancers and the store go and return.

mod common;

use std::time::{
    Duration,
    Instant, //
};

use carobdrum_caller::{
    CallerRequest,
    CloseReason, //
};
use carobdrum_control::KeyWrapper;
use carobdrum_standins::{
    PortMode,
    ServiceTime, //
};
use common::{
    TestSite,
    POOLS, //
};
use rand::{
    rngs::StdRng,
    SeedableRng, //
};

/// Time within which an accepted edit must be in force everywhere.
const IN_FORCE: Duration = Duration::from_secs(3);

async fn two_centres(net: u8) -> TestSite {
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

/// Guards against flows that linger in a data centre that was taken out, against callers left in
/// silence by it, against harm to flows elsewhere, and against a data centre that can't return.
#[tokio::test(flavor = "multi_thread")]
async fn data_centre_leaves_and_returns_without_harm_elsewhere() {
    let site = two_centres(61).await;
    let staying = site.connect_when(|name| name.ends_with('0')).await;
    let leaving = site.connect_when(|name| name.ends_with('1')).await;
    let start = Instant::now();
    site.apply(&site.routes(), &pools_without("galway-b")).await;
    let cause = tokio::time::timeout(IN_FORCE, leaving.closed()).await;
    cause.expect("the flow ends within 3 s");
    println!("flow given up after {:?}", start.elapsed());
    for _ in 0..8 {
        site.connect_when(|name| name.ends_with('0')).await;
    }
    staying
        .request(CallerRequest::get("/bytes/9?seed=1"))
        .await
        .expect("an answer");
    site.apply(&site.routes(), POOLS).await;
    site.connect_when(|name| name.ends_with('1')).await;
    staying
        .request(CallerRequest::get("/bytes/9?seed=1"))
        .await
        .expect("an answer");
}

/// Guards against established flows and new ones that need the store, and against a balancer that
/// can't start without it.
#[tokio::test(flavor = "multi_thread")]
async fn flows_go_on_and_begin_while_the_store_is_down() {
    let mut site = two_centres(62).await;
    let flow = site.connect().await;
    site.store.set_mode(PortMode::Refusing).await;
    site.bootstrap = vec![(site.balancer_ip(0), 7400)];
    site.add_balancer("galway-a");
    // Only the new balancer is left at the fabric, so every packet needs it.
    let fresh = site.balancer_ip(3);
    let deadline = Instant::now() + Duration::from_secs(10);
    loop {
        site.fabric.set_balancers([fresh]);
        let request = CallerRequest::get("/bytes/9?seed=1").timeout(Duration::from_millis(500));
        if flow.request(request).await.is_ok() {
            break;
        }
        assert!(
            Instant::now() < deadline,
            "the new balancer doesn't forward within 10 s"
        );
    }
    site.connect().await;
}

/// Guards against a caller that waits for an agent that has lost its flows: the restarted agent must
/// answer with a stateless reset.
#[tokio::test(flavor = "multi_thread")]
async fn restarted_agent_resets_flows_of_its_predecessor() {
    let mut site = two_centres(63).await;
    let flow = site.connect_when(|name| name.ends_with('1')).await;
    // A process that is killed sends nothing more; here the network loses what it sends at its end.
    site.fabric.set_loss(1.0);
    site.stop_agent(1).await;
    site.agents.truncate(1);
    site.add_agent("galway-b");
    tokio::time::sleep(Duration::from_millis(500)).await;
    site.fabric.set_loss(0.0);
    let request = flow.request(CallerRequest::get("/whoami").timeout(Duration::from_secs(8)));
    request.await.expect_err("the flow is gone");
    let cause = tokio::time::timeout(IN_FORCE, flow.closed()).await;
    assert_eq!(cause.expect("the flow ends"), CloseReason::StatelessReset);
}

/// Guards against broken downloads while every balancer is replaced in turn.
#[tokio::test(flavor = "multi_thread")]
async fn downloads_survive_the_replacement_of_every_balancer() {
    let mut site = two_centres(64).await;
    let flow = site.connect().await;
    let download = tokio::spawn(async move {
        let mut whole = 0;
        for _ in 0..40 {
            let path = "/bytes/2000000?seed=4";
            let request = CallerRequest::get(path).timeout(Duration::from_secs(10));
            let answer = flow.request(request).await.expect("an answer");
            assert!(answer.body == carobdrum_standins::body_chunk(4, 0, 2_000_000));
            whole += 1;
            tokio::time::sleep(Duration::from_millis(40)).await;
        }
        whole
    });
    for index in 0..3 {
        site.add_balancer("galway-a");
        tokio::time::sleep(Duration::from_millis(700)).await;
        let old = site.balancers[index].take().expect("a balancer");
        tokio::task::spawn_blocking(move || old.stop())
            .await
            .expect("an ended balancer");
        let live: Vec<_> = (0..site.balancers.len())
            .filter(|&at| site.balancers[at].is_some())
            .map(|at| site.balancer_ip(at))
            .collect();
        site.fabric.set_balancers(live);
    }
    assert_eq!(download.await.expect("whole downloads"), 40);
}

/// Guards against configuration that takes longer than 3 s, also while the store is slow, and
/// against a process that goes back to an older version.
#[tokio::test(flavor = "multi_thread")]
async fn edit_is_in_force_everywhere_within_three_seconds() {
    let site = two_centres(65).await;
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
            assert!(start.elapsed() < IN_FORCE, "versions in force: {last:?}");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
}

/// Guards against flows that break, and balancers that drop, when the fleet key is rotated.
#[tokio::test(flavor = "multi_thread")]
async fn flows_survive_key_rotations() {
    const KEYS: &str = "carobdrum/test/keys";
    let site = two_centres(66).await;
    let old = site.connect().await;
    let vault = KeyWrapper::new(&[0x5a; 32]);
    let mut random = StdRng::seed_from_u64(66);
    for _ in 0..2 {
        let wrapped = site.store.value(KEYS).expect("a key ring");
        let ring = vault.unwrap(&wrapped).expect("the site's key ring");
        let rotated = vault.rotate(&ring, &mut random);
        site.store
            .set_value(KEYS, vault.wrap(&rotated, &mut random));
        tokio::time::sleep(IN_FORCE).await;
        let request = || CallerRequest::get("/bytes/200000?seed=6").timeout(IN_FORCE);
        // The first key is still in the ring after one rotation, and has left it after two; by then
        // the flow must have got connection IDs under a newer one.
        if rotated.key(0).is_some() {
            old.request(request())
                .await
                .expect("an answer on the old flow");
        }
        let fresh = site.connect().await;
        fresh
            .request(request())
            .await
            .expect("an answer on a new flow");
    }
}

/// Guards against an agent that needs a restart for a renewed certificate.
#[tokio::test(flavor = "multi_thread")]
async fn renewed_certificate_is_taken_without_a_restart() {
    let site = two_centres(67).await;
    let old = site.connect().await;
    site.renew_certificate();
    let deadline = Instant::now() + Duration::from_secs(15);
    // Only callers that trust the new certificate get through from now on.
    while site.caller().connect(site.service().into()).await.is_err() {
        assert!(
            Instant::now() < deadline,
            "the new certificate isn't in use within 15 s"
        );
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
    old.request(CallerRequest::get("/whoami"))
        .await
        .expect("an answer on the old flow");
}

/// Guards against new work for a server that leaves, and against callers that are turned away because
/// balancers still place flows on it.
#[tokio::test(flavor = "multi_thread")]
async fn leaving_server_gets_no_new_work() {
    let mut site = two_centres(68).await;
    let staying = site.connect_when(|name| name.ends_with('0')).await;
    let flow = site.connect_when(|name| name.ends_with('1')).await;
    // Both servers get the same load, so that it isn't the load that keeps flows away.
    for server in &site.servers {
        server.set_service_time(ServiceTime::Fixed(Duration::from_secs(3)));
    }
    let other = tokio::spawn(async move { staying.request(CallerRequest::get("/whoami")).await });
    let running = tokio::spawn(async move { flow.request(CallerRequest::get("/whoami")).await });
    tokio::time::sleep(Duration::from_millis(300)).await;
    for server in &site.servers {
        server.set_service_time(ServiceTime::Fixed(Duration::ZERO));
    }
    let leaving = site.agents[1].take().expect("an agent");
    let leaving = tokio::task::spawn_blocking(move || leaving.stop());
    tokio::time::sleep(Duration::from_secs(1)).await;
    for _ in 0..20 {
        let flow = site
            .caller()
            .connect(site.service().into())
            .await
            .expect("a flow");
        let answer = flow
            .request(CallerRequest::get("/whoami"))
            .await
            .expect("an answer");
        assert_eq!(answer.target(), Some("placename-api-0"));
    }
    running.await.expect("a task").expect("the whole answer");
    other.await.expect("a task").expect("the whole answer");
    leaving.await.expect("an ended agent");
}

/// Guards against a caller that waits in silence for an answer while the balancer that delivered its
/// request leaves: the agent must answer through another one.
#[tokio::test(flavor = "multi_thread")]
async fn waiting_caller_is_answered_after_its_balancer_left() {
    let mut site = TestSite::start(69, 1).await;
    site.apply(&site.routes(), POOLS).await;
    site.add_balancer("galway-a");
    site.add_balancer("galway-a");
    site.add_agent("galway-a");
    site.fabric.set_balancers([site.balancer_ip(0)]);
    let waiting = site.connect().await;
    // One flow in the way of the other would hide that the first one sends nothing.
    let busy = site.connect().await;
    site.servers[0].set_service_time(ServiceTime::Fixed(Duration::from_secs(3)));
    let path = "/bytes/400000?seed=9";
    let answer = tokio::spawn(async move { waiting.request(CallerRequest::get(path)).await });
    tokio::time::sleep(Duration::from_millis(300)).await;
    site.servers[0].set_service_time(ServiceTime::Fixed(Duration::ZERO));
    site.fabric.set_balancers([site.balancer_ip(1)]);
    let left = site.balancers[0].take().expect("a balancer");
    tokio::task::spawn_blocking(move || left.stop())
        .await
        .expect("an ended balancer");
    let start = Instant::now();
    while start.elapsed() < Duration::from_secs(4) {
        busy.request(CallerRequest::get("/bytes/9?seed=1"))
            .await
            .expect("an answer");
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    assert!(
        answer.is_finished(),
        "no answer 1 s after the server gave it"
    );
    let answer = answer.await.expect("a task").expect("the whole answer");
    assert!(answer.body == carobdrum_standins::body_chunk(9, 0, 400_000));
}
