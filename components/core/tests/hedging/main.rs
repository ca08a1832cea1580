//! Tests of the decisions about hedges, without a network and with a clock of their own.

mod hedge_fleet;

use std::net::{
    Ipv4Addr,
    SocketAddrV4, //
};

use carobdrum_core::{
    request::{
        AdmissionController,
        HedgeBudget,
        HedgeDelay,
        HedgeEnd,
        HedgeHold,
        HedgeLimits,
        HedgePolicy,
        HedgeRequest,
        HedgeTarget,
        RequestDeadline,
        RequestOffer,
        RunOffer,
        RunRefusal, //
    },
    version::PriorityClass,
    Millis,
};
use hedge_fleet::{
    quantile,
    HedgeFleet,
    ServerTimes, //
};
use rstest::rstest;

const LIMITS: HedgeLimits = HedgeLimits {
    percent: 10,
    min_delay: Millis(20),
    cross_centre: false,
};

fn agent(number: u8) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(127, 0, 0, number), 7000)
}

fn request() -> HedgeRequest {
    HedgeRequest {
        route: "lookup".into(),
        is_repeatable: true,
        is_keyed: false,
        is_retry: false,
        deadline: RequestDeadline(Millis(u64::MAX)),
    }
}

/// Returns a policy that has seen 100 requests of 30 ms and knows one near and one far agent, and
/// the time.
fn warm_policy(limits: HedgeLimits) -> (HedgePolicy, Millis) {
    let mut policy = HedgePolicy::new(limits, Millis(0));
    for step in 0..100 {
        let now = Millis(step * 10);
        let _ = policy.plan(now, &request());
        policy.record_time(now, "lookup", Millis(30));
    }
    let now = Millis(1_000);
    let targets = [(1, true), (2, false)];
    policy.set_targets(
        now,
        targets.map(|(number, is_near)| HedgeTarget {
            address: agent(number),
            is_near,
        }),
    );
    (policy, now)
}

/// Guards against hedges that don't help when one server of ten often is slow, and against extra
/// work above the percentage. A window that also holds the second in progress allows up to a tenth
/// fewer hedges than the percentage, which counts if all requests of a server need one.
#[rstest]
#[case::slow_now_and_then(8, 10, 0.995)]
#[case::slow_always(100, 100, 0.98)]
fn one_slow_server_in_ten_costs_less(
    #[case] slow_percent: u64,
    #[case] percent: u32,
    #[case] share: f64,
) {
    let slow = ServerTimes {
        usual: 20,
        slow: 400,
        slow_percent,
    };
    let run = |percent| {
        let mut fleet = HedgeFleet::new(HedgeLimits { percent, ..LIMITS }, 10, 40);
        fleet.set_times(0, slow);
        // A process that has just started has no response times.
        fleet.run(Millis(20_000), 50);
        fleet.times.clear();
        fleet.run(Millis(100_000), 50);
        fleet
    };
    let (off, on) = (run(0), run(percent));
    let (off_tail, on_tail) = (quantile(&off.times, share), quantile(&on.times, share));
    println!(
        "quantile {share}: {off_tail} ms off, {on_tail} ms on, {} hedges of {} requests",
        on.sent, on.requests
    );
    assert!(off_tail >= 400 && on_tail * 3 <= off_tail);
    assert!(on.sent * 100 <= on.requests * u64::from(percent));
    assert!(on.sent * 100 <= on.requests * 20, "{}", on.sent);
    assert!(on.won * 3 >= on.sent, "{} of {}", on.won, on.sent);
}

/// Guards against hedges that multiply the load of a service that is slow as a whole: they stay
/// within the percentage and fall to one a second for each agent.
#[test]
fn slow_service_gets_at_most_one_hedge_a_second() {
    let mut fleet = HedgeFleet::new(LIMITS, 10, 200);
    fleet.run(Millis(20_000), 50);
    for server in 0..10 {
        let slow = ServerTimes {
            usual: 150,
            slow: 600,
            slow_percent: 50,
        };
        fleet.set_times(server, slow);
    }
    fleet.run(Millis(20_000), 50);
    let before = fleet.sent;
    fleet.run(Millis(30_000), 50);
    let sent = fleet.sent - before;
    println!("{before} hedges in 40 s, then {sent} in 30 s of 10 agents");
    assert!(before > 0 && sent <= 30 * 10 + 10, "{before}, then {sent}");
    assert!(fleet.sent * 100 <= fleet.requests * 10);
}

/// Guards against a budget that never recovers after hedges were wasted.
#[test]
fn budget_recovers_when_hedges_win_again() {
    let mut budget = HedgeBudget::new(10, Millis(0));
    let mut phase = |from: u64, end: HedgeEnd| {
        let mut sent = [0; 40];
        for time in (from..from + 40_000).step_by(5) {
            let now = Millis(time);
            budget.count_request(now);
            if budget.take_hedge(now) {
                sent[(time - from) as usize / 1_000] += 1;
                budget.record_end(now, end);
            }
        }
        sent
    };
    let wasted = phase(0, HedgeEnd::Lost);
    assert!(wasted[30..].iter().all(|&sent| sent <= 1), "{wasted:?}");
    let won = phase(40_000, HedgeEnd::Won);
    assert!(won[30..].iter().sum::<u32>() >= 150, "{won:?}");
}

/// Guards against hedges of a process that has just started, and against hedges while the clock
/// stands still: requests pay for hedges only once their second has ended.
#[test]
fn restarted_or_standing_clock_allows_nothing() {
    let now = Millis(7_000_000);
    let mut budget = HedgeBudget::new(100, now);
    assert!(!budget.take_hedge(now.plus(Millis(60_000))));
    let later = now.plus(Millis(61_000));
    for _ in 0..100_000 {
        budget.count_request(later);
        assert!(!budget.take_hedge(later));
    }
    let mut policy = HedgePolicy::new(LIMITS, now);
    for _ in 0..49 {
        assert_eq!(policy.plan(now, &request()), Err(HedgeHold::FewSamples));
        policy.record_time(now, "lookup", Millis(30));
    }
    assert_eq!(policy.plan(now, &request()), Err(HedgeHold::FewSamples));
    policy.record_time(now, "lookup", Millis(30));
    assert_eq!(policy.plan(now, &request()), Ok(Millis(30)));
}

/// Guards against a sum of many agents' hedges above the percentage, with loads that differ and
/// change, when each takes as many as it can.
#[test]
fn sum_of_530_agents_stays_under_the_percentage() {
    let mut budgets = vec![HedgeBudget::new(5, Millis(0)); 530];
    let (mut requests, mut sent) = (0, 0);
    for time in (0..60_000).step_by(20) {
        let now = Millis(time);
        for (index, budget) in budgets.iter_mut().enumerate() {
            let burst = (time / 3_000 + index as u64) % 7;
            for _ in 0..burst {
                budget.count_request(now);
                requests += 1;
            }
            while budget.take_hedge(now) {
                sent += 1;
                budget.record_end(now, HedgeEnd::Won);
            }
        }
        assert!(sent * 100 <= requests * 5, "{sent} of {requests} at {time}");
    }
    assert!(sent * 100 >= requests * 4, "{sent} of {requests}");
}

/// Guards against hedges that aren't safe or can't help.
#[rstest]
#[case::post(HedgeRequest { is_repeatable: false, ..request() }, HedgeHold::NotRepeatable)]
#[case::keyed(HedgeRequest { is_keyed: true, ..request() }, HedgeHold::NotRepeatable)]
#[case::retried(HedgeRequest { is_retry: true, ..request() }, HedgeHold::NotRepeatable)]
#[case::other_route(HedgeRequest { route: "upload".into(), ..request() }, HedgeHold::FewSamples)]
#[case::late(HedgeRequest { deadline: RequestDeadline(Millis(1_050)), ..request() }, HedgeHold::Late)]
fn unsuitable_request_is_not_planned(#[case] request: HedgeRequest, #[case] hold: HedgeHold) {
    let (mut policy, now) = warm_policy(LIMITS);
    assert_eq!(policy.plan(now, &request), Err(hold));
}

/// Guards against hedges while the own queue isn't empty, after the deadline, to another data centre
/// without the operators' consent, to agents that have no room, and above the budget.
#[test]
fn hedge_is_held_back() {
    let request = HedgeRequest {
        deadline: RequestDeadline(Millis(5_000)),
        ..request()
    };
    let delay = Millis(30);
    let (mut policy, now) = warm_policy(LIMITS);
    let mut decide = |now, queued| policy.decide(now, &request, delay, queued, 1);
    assert_eq!(decide(now, 1), Err(HedgeHold::Queue));
    assert_eq!(decide(Millis(4_971), 0), Err(HedgeHold::Late));
    assert_eq!(decide(now, 0), Ok(agent(1)));
    let retried = HedgeRequest {
        is_retry: true,
        ..request.clone()
    };
    let held = policy.decide(now, &retried, delay, 0, 1);
    assert_eq!(held, Err(HedgeHold::NotRepeatable));
    policy.record_end(now, "lookup", agent(1), HedgeEnd::Refused);
    let held = policy.decide(now, &request, delay, 0, 1);
    assert_eq!(held, Err(HedgeHold::NoRoom));
    let now = now.plus(Millis(1_000));
    for _ in 0..9 {
        assert_eq!(policy.decide(now, &request, delay, 0, 1), Ok(agent(1)));
    }
    let held = policy.decide(now, &request, delay, 0, 1);
    assert_eq!(held, Err(HedgeHold::Budget));
    policy.set_targets(now, []);
    let held = policy.decide(now, &request, delay, 0, 1);
    assert_eq!(held, Err(HedgeHold::NoAgent));
}

/// Guards against a far agent that is used while a near one has room, or never.
#[test]
fn far_agent_is_used_only_if_allowed_and_needed() {
    let request = HedgeRequest {
        deadline: RequestDeadline(Millis(5_000)),
        ..request()
    };
    let limits = HedgeLimits {
        cross_centre: true,
        ..LIMITS
    };
    let (mut policy, now) = warm_policy(limits);
    let delay = Millis(30);
    assert_eq!(policy.decide(now, &request, delay, 0, 1), Ok(agent(1)));
    policy.record_end(now, "lookup", agent(1), HedgeEnd::Refused);
    assert_eq!(policy.decide(now, &request, delay, 0, 1), Ok(agent(2)));
}

/// Guards against questions for the list of agents more often than once a second, and against a
/// list that is never renewed.
#[test]
fn list_is_asked_for_at_most_once_a_second() {
    let mut policy = HedgePolicy::new(LIMITS, Millis(0));
    let asked = |policy: &mut HedgePolicy, from: u64, until: u64| {
        let times = (from..until).step_by(10);
        times.filter(|&time| policy.begin_ask(Millis(time))).count()
    };
    assert_eq!(asked(&mut policy, 0, 5_000), 5);
    policy.set_targets(Millis(5_000), []);
    assert_eq!(asked(&mut policy, 5_000, 10_000), 0);
    assert_eq!(asked(&mut policy, 10_000, 12_000), 2);
}

/// Guards against a request of another agent that runs on a server that must not get it.
#[rstest]
#[case::post(RunOffer { is_repeatable: false, ..WILLING }, Err(RunRefusal::NotRepeatable))]
#[case::foreign(RunOffer { is_own_service: false, ..WILLING }, Err(RunRefusal::ForeignService))]
#[case::cold(RunOffer { is_warm: false, ..WILLING }, Err(RunRefusal::Cold))]
#[case::draining(RunOffer { is_draining: true, ..WILLING }, Err(RunRefusal::Draining))]
#[case::evacuated(RunOffer { is_evacuated: true, ..WILLING }, Err(RunRefusal::Evacuated))]
#[case::many_runs(RunOffer { running: 16, ..WILLING }, Err(RunRefusal::NoSlot))]
#[case::willing(WILLING, Ok(()))]
fn run_offer_is_decided(#[case] offer: RunOffer, #[case] decision: Result<(), RunRefusal>) {
    assert_eq!(offer.decide(), decision);
}

const WILLING: RunOffer = RunOffer {
    is_own_service: true,
    is_repeatable: true,
    is_warm: true,
    is_draining: false,
    is_evacuated: false,
    running: 0,
};

/// Guards against a request of another agent that waits for a slot or passes queued requests.
#[test]
fn run_starts_only_in_a_free_slot() {
    let now = Millis(0);
    let class = PriorityClass::Normal;
    let mut controller = AdmissionController::builder(1).build();
    let first = controller.start_if_free(now, class);
    assert!(first.is_some());
    assert!(controller.start_if_free(now, class).is_none());
    controller.offer(
        now,
        RequestOffer {
            class,
            deadline: Millis(9_000),
        },
    );
    if let Some(ticket) = first {
        controller.cancel(now, ticket);
    }
    assert!(controller.start_if_free(now, class).is_none());
}

/// Guards against a delay that follows a slow server's own times only, reports that are never
/// forgotten, hedges that keep losing against usual responses, and a percentile of old times.
#[test]
fn delay_follows_recent_times_and_reports() {
    let mut delay = HedgeDelay::default();
    for time in 1..=100 {
        delay.record(Millis(time), Millis(time * 10));
    }
    let now = Millis(200);
    assert_eq!(delay.delay(now, Millis(20)), Some(Millis(950)));
    for (number, percentile) in [(1, 40), (2, 50), (3, 700)] {
        delay.record_report(now, agent(number), Millis(percentile));
    }
    assert_eq!(delay.delay(now, Millis(20)), Some(Millis(50)));
    assert_eq!(delay.delay(now, Millis(60)), Some(Millis(60)));
    for _ in 0..8 {
        delay.record_end(now, false);
    }
    assert_eq!(delay.delay(now, Millis(20)), Some(Millis(75)));
    let later = now.plus(Millis(15_000));
    let own = delay.delay(later, Millis(20));
    assert!(
        own > Some(Millis(950)) && own < Some(Millis(1_425)),
        "{own:?}"
    );
    let much_later = Millis(60_100);
    assert_eq!(delay.delay(much_later, Millis(20)), None);
}
