//! A report that stands alone: a table to read first, then plots.

use crate::figures::{ExperimentReport, PolicyReport};
use plotters::coord::Shift;
use plotters::prelude::*;

/// Width and height of a plot, in pixels.
const PLOT: (u32, u32) = (760, 300);
/// Colours of the lines, in turn.
const COLOURS: [RGBColor; 6] = [
    RGBColor(31, 119, 180),
    RGBColor(214, 39, 40),
    RGBColor(44, 160, 44),
    RGBColor(255, 127, 14),
    RGBColor(148, 103, 189),
    RGBColor(90, 90, 90),
];

/// A named line.
type Line = (String, Vec<(f64, f64)>);

/// Renders a report as HTML.
pub fn render_html(report: &ExperimentReport) -> String {
    let mut html = String::from(
        "<!doctype html><meta charset=\"utf-8\"><style>body{font:14px sans-serif;margin:2em;\
         max-width:70em}table{border-collapse:collapse}td,th{border:1px solid #ccc;\
         padding:.3em .6em;text-align:right}td:first-child,th:first-child{text-align:left}\
         </style>",
    );
    html.push_str(&format!(
        "<title>{}</title><h1>{}</h1>",
        report.name, report.name
    ));
    html.push_str(&format!(
        "<p>Seeds {} to {}, simulated time.</p>",
        report.seed,
        report.seed + report.repetitions.saturating_sub(1)
    ));
    html.push_str(&table(report));
    let plots = [
        ("Trainer's wait a step (s)", waits(report)),
        ("Makespan of a step (s)", makespans(report)),
        (
            "Staleness at hand-over (part of samples by versions behind)",
            staleness(report),
        ),
        (
            "Share of generated tokens over time (10 s steps, brasspond)",
            shares(report),
        ),
    ];
    for (title, lines) in plots {
        html.push_str(&format!("<h2>{title}</h2>"));
        html.push_str(&plot(&lines).unwrap_or_default());
    }
    html.push_str("<h2>Engine occupancy and control bytes a node and second, by class</h2>");
    html.push_str(&costs(report));
    html
}

fn table(report: &ExperimentReport) -> String {
    let mut html = String::from(
        "<table><tr><th>policy</th><th>group</th><th>steps</th><th>idle</th>\
         <th>idle, bound</th><th>makespan / bound</th><th>staleness p50, p99, max</th>\
         <th>stale</th><th>share declared, received</th><th>wasted</th>\
         <th>worst minute's share error</th><th>broken guarantees</th></tr>",
    );
    for (policy, figures) in &report.policies {
        for (name, group) in &figures.groups {
            let [p50, p99, most] = group.staleness_quantiles;
            let error = figures.share_error_most;
            html.push_str(&format!(
                "<tr><td>{policy}</td><td>{name}</td><td>{}/{}</td><td>{:.1}%</td>\
                 <td>{:.1}%</td><td>{:.2}</td><td>{p50}, {p99}, {most}</td><td>{}</td>\
                 <td>{:.3}, {:.3}</td><td>{:.2}%</td><td>{}</td><td>{}</td></tr>",
                group.steps[0],
                group.steps[1],
                group.idle_fraction * 100.0,
                group.idle_fraction_bound * 100.0,
                group.makespan_ratio,
                group.stale,
                group.share_declared,
                group.share_received,
                figures.wasted_fraction * 100.0,
                error.map_or("-".to_owned(), |error| format!("{:.1}%", error * 100.0)),
                figures.violations.len(),
            ));
        }
    }
    html + "</table>"
}

fn costs(report: &ExperimentReport) -> String {
    let mut html =
        String::from("<table><tr><th>policy</th><th>occupancy</th><th>bytes/s</th></tr>");
    for (policy, figures) in &report.policies {
        let classes: Vec<String> = figures
            .control_bytes_by_class
            .iter()
            .map(|(class, bytes)| format!("{class} {bytes:.0}"))
            .collect();
        html.push_str(&format!(
            "<tr><td>{policy}</td><td>{:.1}%</td><td>{:.0} ({})</td></tr>",
            figures.occupancy * 100.0,
            figures.control_bytes,
            classes.join(", ")
        ));
    }
    html + "</table>"
}

fn by_step(
    report: &ExperimentReport,
    values: impl Fn(&PolicyReport, &str) -> Vec<f64>,
) -> Vec<Line> {
    let mut lines = Vec::new();
    for (policy, figures) in &report.policies {
        for name in figures.groups.keys() {
            let points = values(figures, name).into_iter().enumerate();
            let points = points
                .map(|(index, value)| (index as f64 + 1.0, value))
                .collect();
            lines.push((format!("{policy} {name}"), points));
        }
    }
    lines
}

fn waits(report: &ExperimentReport) -> Vec<Line> {
    by_step(report, |figures, name| {
        figures.groups[name].wait_seconds.clone()
    })
}

fn makespans(report: &ExperimentReport) -> Vec<Line> {
    by_step(report, |figures, name| {
        figures.groups[name].makespan_seconds.clone()
    })
}

fn staleness(report: &ExperimentReport) -> Vec<Line> {
    let mut lines = Vec::new();
    for (policy, figures) in &report.policies {
        for (name, group) in &figures.groups {
            let all: u64 = group.staleness_versions.values().sum();
            let points = group
                .staleness_versions
                .iter()
                .map(|(behind, count)| (*behind as f64, *count as f64 / all.max(1) as f64));
            lines.push((format!("{policy} {name}"), points.collect()));
        }
    }
    lines
}

fn shares(report: &ExperimentReport) -> Vec<Line> {
    let Some(figures) = report
        .policies
        .get("brasspond")
        .or(report.policies.values().next())
    else {
        return Vec::new();
    };
    let names = figures.groups.keys();
    let line = |name: &String| {
        let points = figures.share_over_time.iter().enumerate();
        let points = points
            .map(|(index, parts)| (index as f64 * 10.0, parts.get(name).copied().unwrap_or(0.0)));
        (name.clone(), points.collect())
    };
    names.map(line).collect()
}

fn plot(lines: &[Line]) -> Option<String> {
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, PLOT).into_drawing_area();
        draw(&area, lines).ok()?;
    }
    Some(svg)
}

fn draw(
    area: &DrawingArea<SVGBackend<'_>, Shift>,
    lines: &[Line],
) -> Result<(), Box<dyn std::error::Error>> {
    area.fill(&WHITE)?;
    let points = || lines.iter().flat_map(|(_, points)| points);
    let right = points().map(|(x, _)| *x).fold(1.0, f64::max);
    let top = points().map(|(_, y)| *y).fold(1e-9, f64::max) * 1.05;
    let mut chart = ChartBuilder::on(area)
        .margin(8)
        .x_label_area_size(24)
        .y_label_area_size(48)
        .build_cartesian_2d(0.0..right, 0.0..top)?;
    chart.configure_mesh().draw()?;
    for (index, (name, points)) in lines.iter().enumerate() {
        let colour = COLOURS[index % COLOURS.len()];
        let series = LineSeries::new(points.iter().copied(), &colour);
        chart
            .draw_series(series)?
            .label(name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 14, y)], colour));
    }
    chart.configure_series_labels().border_style(BLACK).draw()?;
    area.present()?;
    Ok(())
}
