//! A report as one page that needs nothing else.

use plotters::prelude::*;
use serde_json::Value;

use super::report::metric_rows;
use crate::client::text_of;

/// Width and height of the plot, in pixels.
const PLOT_SIZE: (u32, u32) = (860, 360);

/// The main metric of both arms in one pair, in milliseconds.
struct PlotPoint {
    pair: f64,
    a: f64,
    b: f64,
}

/// Builds the page of a run as the entry reported it.
pub(super) fn build(run: &Value) -> Result<String, String> {
    let report = &run["report"];
    let name = escape(&text_of(&run["run"]));
    let mut page = format!(
        "<!doctype html>\n<html lang=\"en\">\n<meta charset=\"utf-8\">\n<title>{name}</title>\n\
         <style>body {{ font-family: sans-serif; max-width: 56em; margin: 2em auto }}\n\
         td, th {{ padding: 0.2em 1em; text-align: right }}</style>\n<h1>{name}</h1>\n"
    );
    for (label, field) in [
        ("verdict", "verdict_text"),
        ("service", "path"),
        ("arm a", "policy_a"),
        ("arm b", "policy_b"),
        ("assigned", "unit"),
        ("stopped by itself", "stopped_because"),
    ] {
        if !run[field].is_null() {
            let value = escape(&text_of(&run[field]));
            page.push_str(&format!("<p><b>{label}:</b> {value}</p>\n"));
        }
    }
    page.push_str(&metric_table(report));
    let points = read_points(report);
    if !points.is_empty() {
        page.push_str(&plot(&points)?);
    }
    page.push_str(&left_out_list(report));
    page.push_str("</html>\n");
    Ok(page)
}

fn metric_table(report: &Value) -> String {
    let columns = ["metric", "arm_a", "arm_b", "change", "from", "to"];
    let heads: String = columns
        .iter()
        .map(|column| format!("<th>{}</th>", column.replace('_', " ")))
        .collect();
    let rows: String = metric_rows(report)
        .iter()
        .map(|row| {
            let cells: String = columns
                .iter()
                .map(|column| format!("<td>{}</td>", escape(&text_of(&row[*column]))))
                .collect();
            format!("<tr>{cells}</tr>\n")
        })
        .collect();
    format!("<table>\n<tr>{heads}</tr>\n{rows}</table>\n")
}

fn left_out_list(report: &Value) -> String {
    let Some(reasons) = report["left_out"].as_object() else {
        return String::new();
    };
    reasons
        .iter()
        .map(|(reason, count)| format!("<p>left out: {count} pairs, {}</p>\n", escape(reason)))
        .collect()
}

fn read_points(report: &Value) -> Vec<PlotPoint> {
    let points = report["points"].as_array().cloned().unwrap_or_default();
    let first = points
        .first()
        .and_then(|point| point["pair"].as_f64())
        .unwrap_or_default();
    points
        .iter()
        .filter_map(|point| {
            Some(PlotPoint {
                pair: point["pair"].as_f64()? - first,
                a: point["a"].as_f64()?,
                b: point["b"].as_f64()?,
            })
        })
        .collect()
}

/// Draws the main metric of both arms, pair by pair.
fn plot(points: &[PlotPoint]) -> Result<String, String> {
    let mut drawing = String::new();
    draw(&mut drawing, points).map_err(|error| format!("drawing the plot: {error}"))?;
    Ok(drawing)
}

fn draw(drawing: &mut String, points: &[PlotPoint]) -> Result<(), Box<dyn std::error::Error>> {
    let root = SVGBackend::with_string(drawing, PLOT_SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    let last = points.last().map_or(1.0, |point| point.pair.max(1.0));
    let highest = points
        .iter()
        .map(|point| point.a.max(point.b))
        .fold(1.0, f64::max);
    let mut chart = ChartBuilder::on(&root)
        .margin(10)
        .x_label_area_size(35)
        .y_label_area_size(55)
        .build_cartesian_2d(0.0..last, 0.0..highest * 1.1)?;
    chart
        .configure_mesh()
        .x_desc("pair of slots")
        .y_desc("p99 in ms")
        .draw()?;
    let series =
        |value: fn(&PlotPoint) -> f64| points.iter().map(move |point| (point.pair, value(point)));
    chart
        .draw_series(LineSeries::new(series(|point| point.a), &BLUE))?
        .label("arm a")
        .legend(|(x, y)| PathElement::new(vec![(x, y), (x + 20, y)], BLUE));
    chart
        .draw_series(LineSeries::new(series(|point| point.b), &RED))?
        .label("arm b")
        .legend(|(x, y)| PathElement::new(vec![(x, y), (x + 20, y)], RED));
    chart.configure_series_labels().border_style(BLACK).draw()?;
    root.present()?;
    Ok(())
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
}
