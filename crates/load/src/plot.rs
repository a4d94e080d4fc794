//! Plots of a comparison, as SVG.

use crate::report::Row;
use eyre::{Result, eyre};
use plotters::prelude::*;
use std::path::Path;

const SIZE: (u32, u32) = (960, 420);

/// Draws the share of requests on time over the run, one line for each row.
///
/// # Errors
/// A file that can't be written.
pub fn plot(rows: &[Row], path: &Path) -> Result<()> {
    let area = SVGBackend::new(path, SIZE).into_drawing_area();
    area.fill(&WHITE).map_err(|error| eyre!("{error}"))?;
    let end = rows.iter().map(|row| row.by_second.len()).max().unwrap_or(1) as f64;
    let mut chart = ChartBuilder::on(&area)
        .margin(10)
        .x_label_area_size(30)
        .y_label_area_size(40)
        .build_cartesian_2d(0.0..end, 0.0..100.0)
        .map_err(|error| eyre!("{error}"))?;
    let mesh = chart.configure_mesh().x_desc("s").y_desc("on time, %").draw();
    mesh.map_err(|error| eyre!("{error}"))?;
    for (number, row) in rows.iter().enumerate() {
        let color = Palette99::pick(number).to_rgba();
        let series = LineSeries::new(points(row), color.stroke_width(2));
        let drawn = chart.draw_series(series).map_err(|error| eyre!("{error}"))?;
        drawn
            .label(row.policy.clone())
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], color.stroke_width(2)));
    }
    let labels = chart.configure_series_labels().background_style(WHITE.mix(0.8)).draw();
    labels.map_err(|error| eyre!("{error}"))?;
    area.present().map_err(|error| eyre!("{error}"))
}

/// Shares over five seconds each.
fn points(row: &Row) -> Vec<(f64, f64)> {
    let share = |(index, seconds): (usize, &[(u64, u64)])| {
        let on_time: u64 = seconds.iter().map(|second| second.0).sum();
        let came: u64 = seconds.iter().map(|second| second.1).sum();
        (5.0 * index as f64, 100.0 * on_time as f64 / came.max(1) as f64)
    };
    row.by_second.chunks(5).enumerate().map(share).collect()
}
