//! Plots of slopes.

use std::path::Path;

use plotters::prelude::*;

const SIZE: (u32, u32) = (640, 400);

/// Draws points joined by lines, with axes from zero.
pub(crate) fn draw(
    path: &Path,
    title: &str,
    x: &str,
    y: &str,
    points: &[(f64, f64)],
) -> Result<(), String> {
    let most = |value: fn(&(f64, f64)) -> f64| points.iter().map(value).fold(1e-9, f64::max);
    let (most_x, most_y) = (most(|p| p.0), most(|p| p.1));
    let root = SVGBackend::new(path, SIZE).into_drawing_area();
    let drawn = (|| {
        root.fill(&WHITE)?;
        let mut chart = ChartBuilder::on(&root)
            .caption(title, ("sans-serif", 18))
            .margin(12)
            .x_label_area_size(36)
            .y_label_area_size(56)
            .build_cartesian_2d(0.0..most_x * 1.05, 0.0..most_y * 1.1)?;
        chart.configure_mesh().x_desc(x).y_desc(y).draw()?;
        chart.draw_series(LineSeries::new(points.iter().copied(), &BLUE))?;
        root.present()
    })();
    drawn.map_err(|error: DrawingAreaErrorKind<_>| format!("{}: {error}", path.display()))
}
