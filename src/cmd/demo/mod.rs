//! The command `demo`.

mod demo_addresses;
mod demo_args;
mod demo_daemons;
mod demo_files;
mod demo_platform;
mod demo_report;
mod demo_script;
mod demo_tables;
mod flow_ids;
mod flow_owners;
mod metrics_probe;

use std::time::Duration;

use carobdrum_caller::{
    CallerClient,
    LoadRun, //
};
use carobdrum_standins::body_chunk;
use snafu::{
    ensure,
    ResultExt, //
};

pub(crate) use demo_args::DemoArgs;

use crate::{
    cmd::{
        demo::{
            demo_addresses::DemoAddresses,
            demo_daemons::DemoDaemons,
            demo_files::DemoFiles,
            demo_platform::DemoPlatform,
            demo_report::DemoReport,
            demo_script::DemoScript,
            flow_owners::FlowOwners, //
        },
        print, //
    },
    command_error::{
        CommandError,
        DemoSnafu,
        EncodeResultSnafu,
        FlowsBrokenSnafu,
        NoCorrectResponseSnafu,
        RuntimeSnafu,
        WrongResponsesSnafu, //
    },
    demo_error::DemoError, //
};

/// Name in the certificate of the service.
const SERVER_NAME: &str = "placename.demo";
/// Number of flows that are kept open.
const FLOWS: usize = 48;
/// Requests per second.
const RATE: f64 = 250.0;
/// Length of a large response, in bytes.
const LARGE_LEN: usize = 256 << 10;
/// Timeout of each attempt of a request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum number of retries of a request.
const MAX_RETRIES: u32 = 6;

/// Runs the demo and prints its results.
///
/// # Errors
///
/// Returns [`CommandError::Demo`] if the demo failed, [`CommandError::WrongResponses`] if a
/// response was wrong, [`CommandError::FlowsBroken`] if a flow broke outside the evacuated data
/// centre, and [`CommandError::NoCorrectResponse`] if no request had a correct response.
pub(crate) fn run(args: &DemoArgs) -> Result<(), CommandError> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .context(RuntimeSnafu)?;
    let report = run_deployment(args, &runtime).context(DemoSnafu)?;
    print_report(&report, args.json)?;
    let count = report.wrong_answers;
    ensure!(count == 0, WrongResponsesSnafu { count });
    let count = report.flows_broken;
    ensure!(count == 0, FlowsBrokenSnafu { count });
    ensure!(report.succeeded > 0, NoCorrectResponseSnafu);
    Ok(())
}

fn run_deployment(
    args: &DemoArgs,
    runtime: &tokio::runtime::Runtime,
) -> Result<DemoReport, DemoError> {
    let addresses = DemoAddresses::of_process();
    let files = DemoFiles::create(SERVER_NAME)?;
    let platform = runtime.block_on(DemoPlatform::start(&addresses, args.seed))?;
    // The daemons start their own threads and must not be started inside a runtime.
    let daemons = DemoDaemons::start(&addresses, &files, &platform)?;
    let script = DemoScript::new(&platform, &daemons, addresses.service());
    let load = async {
        script.apply_first_version().await?;
        let keys = script.key_ring(files.secret()).await?;
        let owners = FlowOwners::new(&addresses, &platform, keys);
        run_load(args, &files, &script, owners).await
    };
    let report = runtime.block_on(load);
    daemons.stop();
    report
}

async fn run_load(
    args: &DemoArgs,
    files: &DemoFiles,
    script: &DemoScript<'_>,
    owners: FlowOwners,
) -> Result<DemoReport, DemoError> {
    let duration = Duration::from_secs(args.seconds);
    let client = CallerClient::builder(SERVER_NAME).root_pem(files.certificate())?;
    let load = LoadRun::builder(client, script.service().into(), body_chunk)
        .duration(duration)
        .flows(FLOWS)
        // A socket for each flow, because the owner of a flow is found by its port.
        .sockets(FLOWS)
        .owner(move |port| owners.server(port))
        .rate(Some(RATE))
        .large_len(LARGE_LEN)
        .timeout(REQUEST_TIMEOUT)
        .repeats(MAX_RETRIES)
        .seed(args.seed)
        .build()?;
    let stop = load.stop_signal();
    let progress = load.progress();
    let edits = async {
        let outcome = script.run(duration, progress).await;
        if outcome.is_err() {
            stop.stop();
        }
        outcome
    };
    let (load, outcome) = tokio::join!(load.run(), edits);
    Ok(DemoReport::new(load?, outcome?))
}

fn print_report(report: &DemoReport, as_json: bool) -> Result<(), CommandError> {
    if !as_json {
        return print(report.text().as_bytes());
    }
    let mut line = serde_json::to_vec(report).context(EncodeResultSnafu)?;
    line.push(b'\n');
    print(&line)
}
