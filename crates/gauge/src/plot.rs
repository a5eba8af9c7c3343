//! SVG line charts.

use std::path::Path;

use plotters::prelude::*;

/// Width and height of a chart.
const SIZE_PX: (u32, u32) = (640, 400);

/// Draws a line chart to an SVG file, with axes that start at zero.
pub(crate) fn draw(
    path: &Path,
    title: &str,
    x: &str,
    y: &str,
    points: &[(f64, f64)],
) -> Result<(), String> {
    let max_of = |value: fn(&(f64, f64)) -> f64| points.iter().map(value).fold(1e-9, f64::max);
    let (max_x, max_y) = (max_of(|p| p.0), max_of(|p| p.1));
    let root = SVGBackend::new(path, SIZE_PX).into_drawing_area();
    let result = (|| {
        root.fill(&WHITE)?;
        let mut chart = ChartBuilder::on(&root)
            .caption(title, ("sans-serif", 18))
            .margin(12)
            .x_label_area_size(36)
            .y_label_area_size(56)
            .build_cartesian_2d(0.0..max_x * 1.05, 0.0..max_y * 1.1)?;
        chart.configure_mesh().x_desc(x).y_desc(y).draw()?;
        chart.draw_series(LineSeries::new(points.iter().copied(), &BLUE))?;
        root.present()
    })();
    result.map_err(|error: DrawingAreaErrorKind<_>| format!("{}: {error}", path.display()))
}
