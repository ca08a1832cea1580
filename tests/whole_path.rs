//! The path on loopback from a caller to a backend server and back.

mod common;

use std::time::Duration;

use carobdrum_caller::CallerRequest;
use common::{
    TestSite,
    POOLS, //
};

/// Guards against incomplete or wrong small, large and uploaded bodies when the fabric distributes
/// the packets of a flow over three balancers.
#[tokio::test(flavor = "multi_thread")]
async fn bodies_are_complete_over_three_balancers() {
    let mut site = TestSite::start(31, 2).await;
    site.apply(&site.routes(), POOLS).await;
    for _ in 0..3 {
        site.add_balancer("galway-a");
    }
    site.add_agent("galway-a");
    site.add_agent("galway-b");
    let flow = site.connect().await;
    let small = flow
        .request(CallerRequest::get("/bytes/100?seed=3"))
        .await
        .expect("request failed");
    assert_eq!(small.body, carobdrum_standins::body_chunk(3, 0, 100));
    let len = 30_000_000;
    let start = std::time::Instant::now();
    let large = CallerRequest::get("/bytes/30000000?seed=5").timeout(Duration::from_secs(30));
    let large = flow.request(large).await.expect("request failed");
    println!("30 MB in {:?}", start.elapsed());
    assert!(large.body == carobdrum_standins::body_chunk(5, 0, len));
    let upload = carobdrum_standins::body_chunk(7, 0, 200_000);
    let echo = flow
        .request(CallerRequest::post("/echo", upload.clone()))
        .await
        .expect("request failed");
    assert!(echo.body == upload);
}
