//! Scripted cases of the review: each runs the project's processes with stand-ins of the platform and
//! checks one rule.

mod callers;
mod case_agent_restart;
mod case_clock_step;
mod case_evacuation;
mod case_freeze_reuse;
mod case_restart_reuse;
mod case_silent_connections;
mod cold_limit;
mod json;
mod layout;
mod log;
mod packet;
mod reuse;
mod server;
mod site;
mod store;
mod system;

use std::{
    path::{Path, PathBuf},
    process::ExitCode,
};

use log::{CaseLog, Outcome};
use site::{CaseError, Site};

/// Share of the answered requests below which a case counts as not run.
const LEAST_ANSWERED_PERCENT: usize = 50;

/// Result of a case: what broke the rule, if anything did.
pub type Broken = Vec<String>;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, root, record] = arguments.as_slice() else {
        eprintln!("usage: review-cases CASE ROOT RECORD");
        return ExitCode::from(2);
    };
    let with_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    match run(case, Path::new(root), &PathBuf::from(record), with_trouble) {
        Ok(broken) if broken.is_empty() => {
            println!("the rule held");
            ExitCode::SUCCESS
        }
        Ok(broken) => {
            println!(
                "the rule was broken: {} findings, the first ones:",
                broken.len()
            );
            for finding in broken.iter().take(10) {
                println!("  {finding}");
            }
            ExitCode::from(1)
        }
        Err(error) => {
            eprintln!("the case couldn't run: {error}");
            ExitCode::from(2)
        }
    }
}

fn run(case: &str, root: &Path, record: &Path, with_trouble: bool) -> Result<Broken, CaseError> {
    let case = match case {
        "silent-connections" => case_silent_connections::run,
        "clock-step" => case_clock_step::run,
        "restart-reuse" => case_restart_reuse::run,
        "freeze-reuse" => case_freeze_reuse::run,
        "agent-restart" => case_agent_restart::run,
        "evacuation" => case_evacuation::run,
        _ => return Err("unknown case".into()),
    };
    let (mut site, broken) = case(root, with_trouble)?;
    for finding in &broken {
        site.log.note(format!("broken: {finding}"));
    }
    site.log.write(record)?;
    let ended = site.ended_processes();
    if !ended.is_empty() {
        return Err(format!("processes ended by themselves: {}", ended.join(", ")).into());
    }
    check_service(&site.log)?;
    Ok(broken)
}

/// Checks that the deployment served callers at all.
fn check_service(log: &CaseLog) -> Result<(), CaseError> {
    let attempts = log.attempts();
    let answered = attempts
        .iter()
        .filter(|(_, attempt)| attempt.outcome == Outcome::Answered(200));
    let answered = answered.count();
    println!("{answered} of {} attempts answered", attempts.len());
    if answered * 100 < attempts.len() * LEAST_ANSWERED_PERCENT {
        return Err("too few requests were answered".into());
    }
    Ok(())
}

/// A case's site, and what broke the rule.
pub type CaseResult = Result<(Site, Broken), CaseError>;
