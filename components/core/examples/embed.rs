//! Uses the decision logic in a program of its own.
//!
//! Run it with `cargo run -p carobdrum-core --example embed`. It checks two tables, seals the owner
//! of a flow into a connection ID and opens it again, and admits requests to a cold server.

use carobdrum_core::{
    connection::FlowOwner,
    request::{
        AdmissionController,
        AdmissionDecision,
        RequestOffer,
        RequestOutcome,
        RequestResult, //
    },
    version::{
        CentreId,
        ConfigVersion,
        FleetKey,
        KeyRing,
        PriorityClass,
        TableError, //
    },
    Millis,
};

const ROUTES: &str = "
[[route]]
name = 'lookup'
service = 'placename-api'
address = '10.0.0.1:443'
priority = 'dispatch'
";

const POOLS: &str = "
[[pool]]
service = 'placename-api'
servers = ['placename-api-*']
slots = 2
connections = 2000
";

fn main() -> Result<(), TableError> {
    let routes = toml::from_str(ROUTES).expect("the routes above are valid TOML");
    let pools = toml::from_str(POOLS).expect("the pools above are valid TOML");
    let config = ConfigVersion::default().successor(routes, pools)?;
    let service = config
        .service_id("placename-api")
        .expect("the tables have this service");
    println!(
        "version {} assigns number {} to the service",
        config.number, service.0
    );

    // A real key is random; the control crate encrypts it for storage and rotates it.
    let ring = KeyRing::new(1, 0, [FleetKey::new(0, [7; 32])]);
    let owner = FlowOwner {
        agent: "10.0.1.1:7400".parse().expect("the address is valid"),
        service,
        centre: CentreId(1),
        incarnation: 1,
    };
    let id = ring
        .issuing_codec()
        .expect("the ring has this key")
        .seal(&owner, 1, 0);
    println!(
        "any balancer with the key can find the owner: {:?}",
        ring.open(&id)
    );

    let mut controller = AdmissionController::builder(2).build();
    let offer = RequestOffer {
        class: PriorityClass::Dispatch,
        deadline: Millis(1_000),
    };
    let first = controller.offer(Millis(0), offer);
    println!(
        "a cold server gets one request at a time: {first:?}, then {:?}",
        controller.offer(Millis(1), offer)
    );
    if let AdmissionDecision::Run(ticket) = first {
        let result = RequestResult {
            latency: Millis(20),
            outcome: RequestOutcome::Success,
        };
        controller.finish(Millis(21), ticket, result);
    }
    println!(
        "after it has ended, the next one is started: {:?}",
        controller.start_next(Millis(21))
    );
    Ok(())
}
