//! Tables of the results of all cases, in Markdown.

use crate::{
    pool_case::{
        LoadKind,
        Placement,
        PoolShape,
        LOADS,
        PLACEMENTS,
        POOLS,
        VARIANTS,
        VARIANT_CASES, //
    },
    pool_model::{
        PoolFigures,
        PoolModel, //
    },
    server_case::{
        LimitChoice,
        RampChoice,
        ServerCase,
        ServerKind, //
    },
    server_model::{
        ServerFigures,
        ServerModel, //
    },
};

/// Runs per case of a small pool, of a large one, and of one server.
const SMALL_RUNS: u64 = 16;
const LARGE_RUNS: u64 = 2;
const SERVER_RUNS: u64 = 8;

/// Number of targets from which a pool counts as large.
const LARGE_POOL: usize = 50;

pub(crate) const DEMANDS: [f64; 5] = [0.5, 0.9, 1.1, 2.0, 10.0];

/// Slots and capacity of the servers that are compared.
const SERVERS: [(u32, u32); 4] = [(2, 2), (7, 7), (7, 3), (14, 6)];

/// Warm-ups that are compared, with their names in the tables.
pub(crate) const RAMPS: [(&str, RampChoice); 5] = [
    ("none", RampChoice::None),
    ("AIMD alone", RampChoice::LimitOnly),
    ("by success", RampChoice::BySuccess),
    ("patient", RampChoice::WithBackoff),
    ("best possible", RampChoice::Oracle),
];

/// Returns the limits that are compared, as variants of a case with the policy that agents use.
pub(crate) fn limits(base: ServerCase) -> [(&'static str, ServerCase); 6] {
    let fixed = ServerCase {
        limit: LimitChoice::Fixed,
        ..base
    };
    let gradient = ServerCase {
        limit: LimitChoice::Gradient,
        ..base
    };
    let without_early_expiry = ServerCase {
        early_expiry: false,
        ..base
    };
    let without_reserve = ServerCase {
        bulk_reserve: 0,
        ..base
    };
    let without_budget = ServerCase {
        budget: false,
        ..base
    };
    [
        ("fixed", fixed),
        ("gradient", gradient),
        ("AIMD", base),
        ("AIMD, late expiry", without_early_expiry),
        ("AIMD, no reserve", without_reserve),
        ("AIMD, no budget", without_budget),
    ]
}

/// Runs one case of the pool model with several seeds and returns the figures of each run.
pub(crate) fn run_pool(
    pool: PoolShape,
    kind: LoadKind,
    placement: Placement,
    seed: u64,
) -> Vec<PoolFigures> {
    let runs = if pool.targets < LARGE_POOL {
        SMALL_RUNS
    } else {
        LARGE_RUNS
    };
    let seeds = seed..seed + runs;
    seeds
        .map(|seed| PoolModel::run(pool, kind, placement, seed))
        .collect()
}

/// Runs one case of the server model with several seeds and returns the figures of each run.
pub(crate) fn run_server(case: ServerCase, seed: u64) -> Vec<ServerFigures> {
    let seeds = seed..seed + SERVER_RUNS;
    seeds.map(|seed| ServerModel::run(case, seed)).collect()
}

/// Returns the mean of one figure over runs.
pub(crate) fn mean<F>(runs: &[F], figure: impl Fn(&F) -> f64) -> f64 {
    runs.iter().map(figure).sum::<f64>() / runs.len() as f64
}

/// Prints the comparison of placements.
pub(crate) fn print_placements(seed: u64) {
    println!("### Placement\n");
    println!("Largest over mean in flight / time above slots / refused / wait p50 / p99 in ms.\n");
    print_head("pool, load", PLACEMENTS.iter().map(|(name, _)| *name));
    for pool in POOLS {
        for kind in LOADS {
            let cells = PLACEMENTS
                .iter()
                .map(|(_, placement)| pool_cell(&run_pool(pool, kind, *placement, seed)));
            println!("| {}, {} | {} |", pool.name, kind.name(), join(cells));
        }
    }
    println!("\nShare of requests that failed, where one server fails fast.\n");
    print_head("pool", PLACEMENTS.iter().map(|(name, _)| *name));
    for pool in POOLS {
        let cells = PLACEMENTS.iter().map(|(_, placement)| {
            let runs = run_pool(pool, LoadKind::FailFast, *placement, seed);
            percent(mean(&runs, |figures| figures.failed))
        });
        println!("| {} | {} |", pool.name, join(cells));
    }
}

/// Prints the comparison of variants of the redirect decision.
pub(crate) fn print_variants(seed: u64) {
    println!("\n### Variants of the redirect decision\n");
    println!(
        "Largest over mean in flight / wait p99 in ms / flows redirected / requests failed.\n"
    );
    print_head("pool, load", VARIANTS.iter().map(|(name, _)| *name));
    for (index, kind) in VARIANT_CASES {
        let cells = VARIANTS.iter().map(|(_, placement)| {
            let runs = run_pool(POOLS[index], kind, *placement, seed);
            let imbalance = mean(&runs, |figures| figures.imbalance);
            let wait = mean(&runs, |figures| figures.wait_p99 as f64);
            let redirected = percent(mean(&runs, |figures| figures.redirected));
            let failed = percent(mean(&runs, |figures| figures.failed));
            format!("{imbalance:.2} / {wait:.0} / {redirected} / {failed}")
        });
        println!(
            "| {}, {} | {} |",
            POOLS[index].name,
            kind.name(),
            join(cells)
        );
    }
}

/// Prints the comparison of limits.
pub(crate) fn print_limits(seed: u64) {
    println!("\n### Limits\n");
    println!(
        "Goodput over the server's capacity / dispatch latency p50 / p99 in ms / dispatch lost / \
         retries.\n"
    );
    let names = limits(ServerCase::overload(1, 1, 1.0)).map(|(name, _)| name);
    print_head("slots, capacity, demand", names.into_iter());
    for (slots, capacity) in SERVERS {
        for demand in DEMANDS {
            let cases = limits(ServerCase::overload(slots, capacity, demand));
            let cells = cases
                .iter()
                .map(|(_, case)| limit_cell(&run_server(*case, seed)));
            println!("| {slots}, {capacity}, {demand} | {} |", join(cells));
        }
    }
}

/// Prints the comparison of warm-ups.
pub(crate) fn print_ramps(seed: u64) {
    println!("\n### Cold start\n");
    println!(
        "Largest in flight over the server's capacity, from one second after it became cold / \
         requests failed by overload / time until the full limit in s.\n"
    );
    print_head("slots, server", RAMPS.iter().map(|(name, _)| *name));
    for slots in [2, 7] {
        for (name, server) in cold_servers() {
            let cells = RAMPS.iter().map(|(_, ramp)| {
                ramp_cell(&run_server(ServerCase::cold(slots, server, *ramp), seed))
            });
            println!("| {slots}, {name} | {} |", join(cells));
        }
    }
}

fn cold_servers() -> [(&'static str, ServerKind); 4] {
    [
        (
            "warms in 10 s, refuses first",
            ServerKind::ColdByTime {
                refuses_first: true,
            },
        ),
        (
            "warms in 10 s, no warning",
            ServerKind::ColdByTime {
                refuses_first: false,
            },
        ),
        (
            "warms in 60 requests, refuses first",
            ServerKind::ColdByRequests {
                refuses_first: true,
            },
        ),
        (
            "warms in 60 requests, no warning",
            ServerKind::ColdByRequests {
                refuses_first: false,
            },
        ),
    ]
}

fn pool_cell(runs: &[PoolFigures]) -> String {
    let imbalance = mean(runs, |figures| figures.imbalance);
    let over = percent(mean(runs, |figures| figures.over_slots));
    let refused = percent(mean(runs, |figures| figures.refused));
    let median = mean(runs, |figures| figures.wait_p50 as f64);
    let tail = mean(runs, |figures| figures.wait_p99 as f64);
    format!("{imbalance:.2} / {over} / {refused} / {median:.0} / {tail:.0}")
}

fn limit_cell(runs: &[ServerFigures]) -> String {
    let goodput = mean(runs, |figures| figures.goodput);
    let median = mean(runs, |figures| figures.dispatch_p50 as f64);
    let tail = mean(runs, |figures| figures.dispatch_p99 as f64);
    let lost = percent(mean(runs, |figures| figures.dispatch_lost));
    let retries = percent(mean(runs, |figures| figures.retries));
    format!("{goodput:.2} / {median:.0} / {tail:.0} / {lost} / {retries}")
}

fn ramp_cell(runs: &[ServerFigures]) -> String {
    let peak = mean(runs, |figures| figures.cold_peak);
    let failures = mean(runs, |figures| figures.cold_failures as f64);
    let unfinished = runs.iter().filter(|figures| figures.full_after.is_none());
    let unfinished = unfinished.count();
    if unfinished > 0 {
        return format!("{peak:.1} / {failures:.0} / never in {unfinished} runs");
    }
    let full = mean(runs, |figures| {
        figures.full_after.map_or(0.0, |after| after.0 as f64)
    });
    format!("{peak:.1} / {failures:.0} / {:.1}", full / 1_000.0)
}

fn percent(share: f64) -> String {
    format!("{:.1}%", share * 100.0)
}

fn print_head<'a>(first: &str, names: impl Iterator<Item = &'a str>) {
    let names: Vec<&str> = names.collect();
    println!("| {first} | {} |", names.join(" | "));
    println!("|---|{}", "---|".repeat(names.len()));
}

fn join(cells: impl Iterator<Item = String>) -> String {
    cells.collect::<Vec<String>>().join(" | ")
}
