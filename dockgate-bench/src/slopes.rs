//! Measures how control overhead grows: varies one parameter at a time and fits a line per metric.

mod line_fit;
mod slope_axis;

pub use line_fit::LineFit;
pub use slope_axis::SlopeAxis;

use crate::error::BenchError;
use crate::report::ArmReport;
use crate::run::{RunOptions, run_scenario};
use crate::scenario::BenchScenario;
use comfy_table::Table;
use comfy_table::presets::ASCII_MARKDOWN;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;

/// The measurement at one value of the varied parameter.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct SlopePoint {
    /// Value of the parameter.
    pub size: f64,
    /// Measured values, by metric.
    pub measured: BTreeMap<String, f64>,
}

/// Points and fitted lines of one axis.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct SlopeReport {
    /// Name of the axis.
    pub axis: String,
    /// Measured points.
    pub points: Vec<SlopePoint>,
    /// Fitted lines, by metric.
    pub fits: BTreeMap<String, LineFit>,
}

/// Returns the metrics to which lines are fitted.
fn slope_metrics(report: &ArmReport) -> BTreeMap<String, f64> {
    [
        (
            "idle_node_bytes_per_second",
            report.idle_control_bytes_per_node_second,
        ),
        (
            "node_bytes_per_second",
            report.control_bytes_per_node_second,
        ),
        (
            "control_bytes_per_request",
            report.control_bytes_per_request,
        ),
        ("control_core_fraction", report.control_core_fraction),
        ("process_core_fraction", report.process_core_fraction),
        ("memory_mb", report.memory_mb),
        (
            "platform_reads_per_second",
            report.platform_reads_per_second,
        ),
        (
            "platform_writes_per_second",
            report.platform_writes_per_second,
        ),
        ("config_in_force_ms_p99", report.config_in_force_ms.p99),
        ("requests", report.requests as f64),
    ]
    .into_iter()
    .map(|(name, value)| (name.to_owned(), value))
    .collect()
}

/// Measures the named axes, or every axis if `axis_names` is empty.
///
/// # Errors
///
/// Returns an error if a fleet cannot be started or configured.
pub async fn run_slopes(
    axis_names: &[String],
    seconds: f64,
    seed: u64,
) -> Result<Vec<SlopeReport>, BenchError> {
    let options = RunOptions {
        seed,
        seconds,
        warm_up: Duration::from_secs(2),
        keep_logs: None,
    };
    let mut reports = Vec::new();
    for axis in SlopeAxis::ALL {
        if axis_names.is_empty() || axis_names.iter().any(|name| name == axis.name()) {
            reports.push(run_axis(axis, &options).await?);
        }
    }
    Ok(reports)
}

async fn run_axis(axis: SlopeAxis, options: &RunOptions) -> Result<SlopeReport, BenchError> {
    let mut points = Vec::new();
    for size in axis.sizes() {
        let name = format!("{}-{size}", axis.name());
        let scenario = BenchScenario::parse(&name, &name, &axis.scenario_ini(*size))?;
        let measured = run_scenario(&scenario, options).await?;
        println!("measured {name}");
        points.push(SlopePoint {
            size: *size as f64,
            measured: slope_metrics(&measured.main),
        });
    }
    Ok(SlopeReport {
        axis: axis.name().to_owned(),
        fits: fit_all(&points),
        points,
    })
}

fn fit_all(points: &[SlopePoint]) -> BTreeMap<String, LineFit> {
    let names = points.first().map(|point| point.measured.keys().cloned());
    names
        .into_iter()
        .flatten()
        .map(|name| {
            let pairs: Vec<(f64, f64)> = points
                .iter()
                .map(|point| (point.size, point.measured[&name]))
                .collect();
            (name, LineFit::from_points(&pairs))
        })
        .collect()
}

impl SlopeReport {
    /// Prints a table of the points and the fitted lines.
    pub fn print(&self) {
        println!("\n{}", self.axis);
        let mut table = Table::new();
        let sizes = self.points.iter().map(|point| point.size.to_string());
        let header = std::iter::once(String::new())
            .chain(sizes)
            .chain(["slope", "error", "at zero", "bends at"].map(str::to_owned));
        table.load_style(ASCII_MARKDOWN).set_header(header);
        for (name, fit) in &self.fits {
            let values = self
                .points
                .iter()
                .map(|point| format_number(point.measured[name]));
            let bends_at = fit
                .bends_at
                .map_or_else(|| "-".to_owned(), |size| size.to_string());
            let line = [
                format_number(fit.slope),
                format_number(fit.error),
                format_number(fit.at_zero),
                bends_at,
            ];
            table.add_row(std::iter::once(name.clone()).chain(values).chain(line));
        }
        println!("{table}");
    }
}

fn format_number(value: f64) -> String {
    match value.abs() {
        size if size >= 100.0 => format!("{value:.0}"),
        size if size >= 1.0 => format!("{value:.2}"),
        _ => format!("{value:.5}"),
    }
}
