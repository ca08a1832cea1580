//! The command `load`.

mod load_args;
mod load_text;

use std::time::Duration;

use carobdrum_caller::{
    CallerClient,
    ClientBuilder,
    LoadReport,
    LoadRun,
    RequestMix, //
};
use carobdrum_standins::body_chunk;
use snafu::{
    ensure,
    ResultExt, //
};

pub(crate) use load_args::LoadArgs;
pub(super) use load_text::load_text;

use crate::{
    cmd::print,
    command_error::{
        CommandError,
        EncodeResultSnafu,
        InvalidCaSnafu,
        LoadFailedSnafu,
        NoCorrectResponseSnafu,
        NotLoopbackSnafu,
        RuntimeSnafu,
        UnreadableCaSnafu,
        WrongResponsesSnafu, //
    }, //
};

/// Sends the load and prints the result.
///
/// # Errors
///
/// Returns errors of the arguments and of the load, [`CommandError::WrongResponses`] if a response
/// was wrong, and [`CommandError::NoCorrectResponse`] if no request had a correct response.
pub(crate) fn run(args: &LoadArgs) -> Result<(), CommandError> {
    let address = args.address;
    ensure!(address.ip().is_loopback(), NotLoopbackSnafu { address });
    let load = load_of(args, client_of(args)?)?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .context(RuntimeSnafu)?;
    let report = runtime.block_on(load.run()).context(LoadFailedSnafu)?;
    print_report(&report, args.json)?;
    check_report(&report)
}

fn client_of(args: &LoadArgs) -> Result<ClientBuilder, CommandError> {
    let path = &args.ca;
    let pem = std::fs::read(path).context(UnreadableCaSnafu { path })?;
    CallerClient::builder(args.server_name.clone())
        .root_pem(pem)
        .context(InvalidCaSnafu { path })
}

fn load_of(args: &LoadArgs, client: ClientBuilder) -> Result<LoadRun, CommandError> {
    let request_mix = RequestMix {
        small: args.small_share,
        large: args.large_share,
        echo: args.echo_share,
        record: args.record_share,
    };
    LoadRun::builder(client, args.address, body_chunk)
        .duration(Duration::from_secs(args.seconds))
        .requests(args.requests)
        .flows(args.flows)
        .sockets(args.sockets)
        .rate(args.rate)
        .max_concurrent(args.concurrent)
        .request_mix(request_mix)
        .small_len(args.small_bytes)
        .large_len(args.large_bytes)
        .echo_len(args.body_bytes)
        .timeout(Duration::from_millis(args.timeout_ms))
        .repeats(args.repeats)
        .seed(args.seed)
        .build()
        .context(LoadFailedSnafu)
}

fn print_report(report: &LoadReport, as_json: bool) -> Result<(), CommandError> {
    if !as_json {
        return print(load_text(report).as_bytes());
    }
    let mut line = serde_json::to_vec(report).context(EncodeResultSnafu)?;
    line.push(b'\n');
    print(&line)
}

fn check_report(report: &LoadReport) -> Result<(), CommandError> {
    let count = report.wrong_answers;
    ensure!(report.is_correct(), WrongResponsesSnafu { count });
    ensure!(report.succeeded > 0, NoCorrectResponseSnafu);
    Ok(())
}
