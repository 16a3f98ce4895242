//! Straight lines through measurements, and a plot of them.

use clap::ArgMatches;
use eyre::{Result, WrapErr, ensure};
use plotters::prelude::*;

use crate::capacity::measure::CapacityPoint;
use crate::flags::value;

/// Size of the plot, in pixels.
const PLOT_SIZE: (u32, u32) = (900, 640);

/// A straight line with its root mean square residual.
struct LineFit {
    intercept: f64,
    slope: f64,
    residual: f64,
}

/// Fits a line through `points` by least squares.
fn fit_line(points: &[(f64, f64)]) -> LineFit {
    let count = points.len() as f64;
    let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
    let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
    let covariance: f64 = points
        .iter()
        .map(|(x, y)| (x - mean_x) * (y - mean_y))
        .sum();
    let variance: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
    let slope = covariance / variance;
    let intercept = mean_y - slope * mean_x;
    let square: f64 = points
        .iter()
        .map(|(x, y)| (y - intercept - slope * x).powi(2))
        .sum();
    LineFit {
        intercept,
        slope,
        residual: (square / count).sqrt(),
    }
}

/// A quantity that is fitted against a size.
struct Series {
    title: &'static str,
    size: fn(&CapacityPoint) -> f64,
    quantity: fn(&CapacityPoint) -> f64,
    is_used: fn(&CapacityPoint) -> bool,
}

const SERIES: &[Series] = &[
    Series {
        title: "cpu percent by agents",
        size: |point| point.agents as f64,
        quantity: |point| point.cpu_percent,
        is_used: is_idle,
    },
    Series {
        title: "resident MB by agents",
        size: |point| point.agents as f64,
        quantity: |point| point.resident_mb,
        is_used: is_idle,
    },
    Series {
        title: "wire bytes/s by polls/s",
        size: |point| point.polls_per_second,
        quantity: |point| point.wire_bytes_per_second,
        is_used: is_idle,
    },
    Series {
        title: "resident MB by running tasks",
        size: |point| f64::from(point.running),
        quantity: |point| point.resident_mb,
        is_used: is_running,
    },
    Series {
        title: "cpu percent by running tasks",
        size: |point| f64::from(point.running),
        quantity: |point| point.cpu_percent,
        is_used: is_running,
    },
    Series {
        title: "cpu percent by starts/s",
        size: |point| point.starts_per_second,
        quantity: |point| point.cpu_percent,
        is_used: is_starting,
    },
    Series {
        title: "wire bytes/s by starts/s",
        size: |point| point.starts_per_second,
        quantity: |point| point.wire_bytes_per_second,
        is_used: is_starting,
    },
    Series {
        title: "store writes/s by starts/s",
        size: |point| point.starts_per_second,
        quantity: |point| point.store_writes_per_second,
        is_used: is_starting,
    },
];

/// Agents of the measurements that vary tasks or starts.
const TASK_AGENTS: usize = 250;

fn is_idle(point: &CapacityPoint) -> bool {
    point.running == 0 && point.starts_per_second == 0.0
}

fn is_running(point: &CapacityPoint) -> bool {
    point.agents == TASK_AGENTS && point.running > 0
}

fn is_starting(point: &CapacityPoint) -> bool {
    point.agents == TASK_AGENTS && point.running == 0
}

/// Prints all fits and draws the plot.
pub(crate) fn run(matches: &ArgMatches) -> Result<bool> {
    let input: String = value(matches, "input");
    let text = std::fs::read_to_string(&input).wrap_err_with(|| format!("reading {input}"))?;
    let points: Vec<CapacityPoint> = text
        .lines()
        .map(serde_json::from_str)
        .collect::<Result<_, _>>()
        .wrap_err("reading a measurement")?;
    println!("| quantity | at zero | slope | residual | sizes |");
    println!("| --- | --- | --- | --- | --- |");
    let mut curves = Vec::new();
    for series in SERIES {
        let data: Vec<(f64, f64)> = points
            .iter()
            .filter(|point| (series.is_used)(point))
            .map(|point| ((series.size)(point), (series.quantity)(point)))
            .collect();
        ensure!(data.len() >= 4, "{}: fewer than four sizes", series.title);
        let fit = fit_line(&data);
        println!(
            "| {} | {:.3} | {:.6} | {:.3} | {} |",
            series.title,
            fit.intercept,
            fit.slope,
            fit.residual,
            data.len()
        );
        curves.push((series.title, data, fit));
    }
    let path: String = value(matches, "plot");
    draw(&path, &curves).wrap_err("drawing the plot")?;
    Ok(true)
}

type Curve = (&'static str, Vec<(f64, f64)>, LineFit);

/// Draws each curve in a panel of its own.
fn draw(path: &str, curves: &[Curve]) -> Result<()> {
    let root = SVGBackend::new(path, PLOT_SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    for (panel, (title, data, fit)) in root.split_evenly((4, 2)).iter().zip(curves) {
        let most = |values: &mut dyn Iterator<Item = f64>| values.fold(1e-6, f64::max) * 1.1;
        let most_x = most(&mut data.iter().map(|(x, _)| *x));
        let most_y = most(&mut data.iter().map(|(_, y)| *y));
        let mut chart = ChartBuilder::on(panel)
            .caption(*title, ("sans-serif", 14))
            .margin(8)
            .x_label_area_size(22)
            .y_label_area_size(52)
            .build_cartesian_2d(0.0..most_x, 0.0..most_y)?;
        chart.configure_mesh().x_labels(5).y_labels(4).draw()?;
        let ends = [0.0, most_x].map(|x| (x, fit.intercept + fit.slope * x));
        chart.draw_series(LineSeries::new(ends, &BLUE))?;
        let dots = data
            .iter()
            .map(|point| Circle::new(*point, 3, RED.filled()));
        chart.draw_series(dots)?;
    }
    root.present()?;
    Ok(())
}
