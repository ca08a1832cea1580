//! Plots of selected cases as SVG files.

use std::path::Path;

use plotters::{
    coord::types::RangedCoordf64,
    prelude::*, //
};

use crate::{
    pool_case::{
        LOADS,
        PLACEMENTS,
        POOLS, //
    },
    server_case::{
        RampChoice,
        ServerCase,
        ServerKind, //
    },
    server_model::ServerModel,
    tables::{
        limits,
        mean,
        run_pool,
        run_server,
        DEMANDS, //
    },
};

const SIZE: (u32, u32) = (900, 480);

/// Pool whose imbalance is drawn: werkplaats.
const DRAWN_POOL: usize = 2;

struct Line {
    label: String,
    points: Vec<(f64, f64)>,
}

/// Title and axes of a plot.
struct Frame<'a> {
    title: &'a str,
    x_label: &'a str,
    y_label: &'a str,
    x_max: f64,
    y_max: f64,
}

type Outcome = Result<(), Box<dyn std::error::Error>>;

/// Writes all plots to a directory, which is created if needed.
///
/// # Errors
///
/// Returns the error of the file system or of the plotting library.
pub(crate) fn draw_all(directory: &Path, seed: u64) -> Outcome {
    std::fs::create_dir_all(directory)?;
    draw_imbalance(&directory.join("policy-imbalance.svg"), seed)?;
    draw_goodput(&directory.join("policy-goodput.svg"), seed)?;
    draw_cold(&directory.join("policy-cold-start.svg"), seed)
}

fn draw_imbalance(path: &Path, seed: u64) -> Outcome {
    let lines = PLACEMENTS.iter().map(|(name, placement)| {
        let points = LOADS.iter().enumerate().map(|(index, kind)| {
            let runs = run_pool(POOLS[DRAWN_POOL], *kind, *placement, seed);
            (index as f64, mean(&runs, |figures| figures.imbalance))
        });
        Line {
            label: (*name).to_owned(),
            points: points.collect(),
        }
    });
    let frame = Frame {
        title: "werkplaats: largest over mean in flight",
        x_label: "steady, bursty, downloads, slow server, fails fast, false load",
        y_label: "largest over mean",
        x_max: (LOADS.len() - 1) as f64,
        y_max: 7.0,
    };
    draw(path, &frame, &lines.collect::<Vec<Line>>())
}

fn draw_goodput(path: &Path, seed: u64) -> Outcome {
    let count = limits(ServerCase::overload(1, 1, 1.0)).len();
    let lines = (0..count).map(|index| {
        let points = DEMANDS.iter().enumerate().map(|(at, demand)| {
            let (_, case) = limits(ServerCase::overload(14, 6, *demand))[index];
            (
                at as f64,
                mean(&run_server(case, seed), |figures| figures.goodput),
            )
        });
        let (name, _) = limits(ServerCase::overload(14, 6, 1.0))[index];
        Line {
            label: name.to_owned(),
            points: points.collect(),
        }
    });
    let frame = Frame {
        title: "14 slots on a server with capacity for 6: goodput by demand",
        x_label: "demand 0.5, 0.9, 1.1, 2, 10",
        y_label: "goodput",
        x_max: (DEMANDS.len() - 1) as f64,
        y_max: 1.0,
    };
    draw(path, &frame, &lines.collect::<Vec<Line>>())
}

fn draw_cold(path: &Path, seed: u64) -> Outcome {
    let server = ServerKind::ColdByTime {
        refuses_first: false,
    };
    let timeline = |ramp| ServerModel::run(ServerCase::cold(7, server, ramp), seed).timeline;
    let allowed = |label: &str, ramp| Line {
        label: label.to_owned(),
        points: timeline(ramp)
            .iter()
            .map(|(at, allowed, _)| (at.0 as f64 / 1e3, f64::from(*allowed)))
            .collect(),
    };
    let capacity = timeline(RampChoice::Oracle);
    let lines = [
        Line {
            label: "borne".to_owned(),
            points: capacity
                .iter()
                .map(|(at, _, capacity)| (at.0 as f64 / 1e3, f64::from(*capacity)))
                .collect(),
        },
        allowed("AIMD alone", RampChoice::LimitOnly),
        allowed("by success", RampChoice::BySuccess),
        allowed("patient", RampChoice::WithBackoff),
    ];
    let frame = Frame {
        title: "7 slots, cold without warning: requests allowed",
        x_label: "seconds",
        y_label: "requests",
        x_max: 15.0,
        y_max: 8.0,
    };
    draw(path, &frame, &lines)
}

fn draw(path: &Path, frame: &Frame<'_>, lines: &[Line]) -> Outcome {
    let area = SVGBackend::new(path, SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption(frame.title, ("sans-serif", 18))
        .margin(12)
        .x_label_area_size(40)
        .y_label_area_size(50)
        .build_cartesian_2d(0.0..frame.x_max, 0.0..frame.y_max)?;
    chart
        .configure_mesh()
        .x_desc(frame.x_label)
        .y_desc(frame.y_label)
        .draw()?;
    for (index, line) in lines.iter().enumerate() {
        draw_line(&mut chart, index, line)?;
    }
    chart
        .configure_series_labels()
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK)
        .draw()?;
    area.present()?;
    Ok(())
}

fn draw_line<'a, 'b>(
    chart: &mut ChartContext<'a, SVGBackend<'b>, Cartesian2d<RangedCoordf64, RangedCoordf64>>,
    index: usize,
    line: &Line,
) -> Outcome
where
    'b: 'a,
{
    let style = Palette99::pick(index).stroke_width(2);
    let end = chart.x_range().end;
    let shown = line.points.iter().copied().filter(|(x, _)| *x <= end);
    let series = LineSeries::new(shown, style);
    chart
        .draw_series(series)?
        .label(line.label.as_str())
        .legend(move |(x, y)| PathElement::new([(x, y), (x + 20, y)], style));
    Ok(())
}
