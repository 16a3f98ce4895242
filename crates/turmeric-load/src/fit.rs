//! Linear fits of capacity measurements, printed as a table and plotted.

use clap::ArgMatches;
use eyre::{Result, WrapErr, ensure};
use plotters::prelude::*;

use crate::capacity::measure::CapacityPoint;
use crate::flags::value;

/// Size of the plot, in pixels.
const PLOT_SIZE: (u32, u32) = (900, 640);

/// A fitted line with its root mean square residual.
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
    let squared_sum: f64 = points
        .iter()
        .map(|(x, y)| (y - intercept - slope * x).powi(2))
        .sum();
    LineFit {
        intercept,
        slope,
        residual: (squared_sum / count).sqrt(),
    }
}

/// A measured quantity that is fitted against a size of the load.
struct Series {
    title: &'static str,
    size: fn(&CapacityPoint) -> f64,
    quantity: fn(&CapacityPoint) -> f64,
    includes: fn(&CapacityPoint) -> bool,
}

const SERIES: &[Series] = &[
    Series {
        title: "cpu percent by agents",
        size: |point| point.agents as f64,
        quantity: |point| point.cpu_percent,
        includes: is_idle,
    },
    Series {
        title: "resident MB by agents",
        size: |point| point.agents as f64,
        quantity: |point| point.resident_mb,
        includes: is_idle,
    },
    Series {
        title: "wire bytes/s by polls/s",
        size: |point| point.polls_per_second,
        quantity: |point| point.wire_bytes_per_second,
        includes: is_idle,
    },
    Series {
        title: "resident MB by running tasks",
        size: |point| f64::from(point.running),
        quantity: |point| point.resident_mb,
        includes: is_running,
    },
    Series {
        title: "cpu percent by running tasks",
        size: |point| f64::from(point.running),
        quantity: |point| point.cpu_percent,
        includes: is_running,
    },
    Series {
        title: "cpu percent by starts/s",
        size: |point| point.starts_per_second,
        quantity: |point| point.cpu_percent,
        includes: is_starting,
    },
    Series {
        title: "wire bytes/s by starts/s",
        size: |point| point.starts_per_second,
        quantity: |point| point.wire_bytes_per_second,
        includes: is_starting,
    },
    Series {
        title: "store writes/s by starts/s",
        size: |point| point.starts_per_second,
        quantity: |point| point.store_writes_per_second,
        includes: is_starting,
    },
];

/// Number of agents in the measurements that vary running tasks or starts.
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

/// Prints a table of all fits and draws the plot.
pub(crate) fn run(matches: &ArgMatches) -> Result<bool> {
    let input: String = value(matches, "input");
    let text = std::fs::read_to_string(&input)
        .wrap_err_with(|| format!("failed to read measurements from {input}"))?;
    let points: Vec<CapacityPoint> = text
        .lines()
        .map(serde_json::from_str)
        .collect::<Result<_, _>>()
        .wrap_err("failed to parse a measurement line")?;
    println!("| quantity | at zero | slope | residual | sizes |");
    println!("| --- | --- | --- | --- | --- |");
    let mut curves = Vec::new();
    for series in SERIES {
        let data: Vec<(f64, f64)> = points
            .iter()
            .filter(|point| (series.includes)(point))
            .map(|point| ((series.size)(point), (series.quantity)(point)))
            .collect();
        ensure!(
            data.len() >= 4,
            "series \"{}\" has fewer than four measurements",
            series.title
        );
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
    draw(&path, &curves).wrap_err("failed to draw the plot")?;
    Ok(true)
}

type Curve = (&'static str, Vec<(f64, f64)>, LineFit);

/// Draws each curve in its own panel of an SVG file.
fn draw(path: &str, curves: &[Curve]) -> Result<()> {
    let root = SVGBackend::new(path, PLOT_SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    for (panel, (title, data, fit)) in root.split_evenly((4, 2)).iter().zip(curves) {
        let axis_max = |values: &mut dyn Iterator<Item = f64>| values.fold(1e-6, f64::max) * 1.1;
        let max_x = axis_max(&mut data.iter().map(|(x, _)| *x));
        let max_y = axis_max(&mut data.iter().map(|(_, y)| *y));
        let mut chart = ChartBuilder::on(panel)
            .caption(*title, ("sans-serif", 14))
            .margin(8)
            .x_label_area_size(22)
            .y_label_area_size(52)
            .build_cartesian_2d(0.0..max_x, 0.0..max_y)?;
        chart.configure_mesh().x_labels(5).y_labels(4).draw()?;
        let ends = [0.0, max_x].map(|x| (x, fit.intercept + fit.slope * x));
        chart.draw_series(LineSeries::new(ends, &BLUE))?;
        let dots = data
            .iter()
            .map(|point| Circle::new(*point, 3, RED.filled()));
        chart.draw_series(dots)?;
    }
    root.present()?;
    Ok(())
}
