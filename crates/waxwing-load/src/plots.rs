//! Plots of a run, drawn as SVG for embedding in the HTML page.

use plotters::prelude::{
    ChartBuilder, IntoDrawingArea as _, LineSeries, Palette, Palette99, PathElement, Rectangle,
    SVGBackend, WHITE,
};
use plotters::style::{Color as _, IntoFont as _};

use crate::{errors::LoadError, reports::VariantReport};

/// Width and height of a plot in pixels.
const PLOT_SIZE: (u32, u32) = (860, 320);

fn plot_error(error: impl std::fmt::Display) -> LoadError {
    LoadError::Plot(error.to_string())
}

/// Draws a line for each variant: its good answers in each second of the run.
///
/// # Errors
/// Fails if the plot can't be drawn.
pub fn good_over_time(variants: &[VariantReport]) -> Result<String, LoadError> {
    let mut text = String::new();
    {
        let area = SVGBackend::with_string(&mut text, PLOT_SIZE).into_drawing_area();
        area.fill(&WHITE).map_err(plot_error)?;
        let seconds = variants.iter().map(|variant| variant.good_by_second.len());
        let highest = variants.iter().flat_map(|variant| &variant.good_by_second);
        let (width, height) = (
            seconds.max().unwrap_or(0),
            highest.max().copied().unwrap_or(0),
        );
        let mut chart = ChartBuilder::on(&area)
            .caption("good answers per second", ("sans-serif", 16).into_font())
            .margin(8)
            .x_label_area_size(28)
            .y_label_area_size(48)
            .build_cartesian_2d(0..width.max(1), 0..height.max(1))
            .map_err(plot_error)?;
        chart
            .configure_mesh()
            .x_desc("second")
            .draw()
            .map_err(plot_error)?;
        for (index, variant) in variants.iter().enumerate() {
            let color = Palette99::pick(index);
            let points = variant.good_by_second.iter().copied().enumerate();
            chart
                .draw_series(LineSeries::new(points, color.stroke_width(2)))
                .map_err(plot_error)?
                .label(variant.name.as_str())
                .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], color.filled()));
        }
        chart
            .configure_series_labels()
            .background_style(WHITE.mix(0.8))
            .draw()
            .map_err(plot_error)?;
        area.present().map_err(plot_error)?;
    }
    Ok(text)
}

/// Draws a bar for each tier and variant, with the height that `value` returns for the tier.
///
/// # Errors
/// Fails if the plot can't be drawn.
pub fn tier_bars(
    caption: &str,
    variants: &[VariantReport],
    value: fn(&crate::reports::TierReport) -> f64,
) -> Result<String, LoadError> {
    let mut names: Vec<_> = variants.iter().flat_map(|variant| &variant.tiers).collect();
    names.sort_by_key(|tier| tier.rank);
    names.dedup_by(|one, other| one.tier == other.tier);
    let names: Vec<_> = names.into_iter().map(|tier| tier.tier.clone()).collect();
    let values = variants
        .iter()
        .flat_map(|variant| &variant.tiers)
        .map(value);
    let height = values.fold(0.0, f64::max).max(0.001) * 1.05;
    let mut text = String::new();
    {
        let area = SVGBackend::with_string(&mut text, PLOT_SIZE).into_drawing_area();
        area.fill(&WHITE).map_err(plot_error)?;
        let mut chart = ChartBuilder::on(&area)
            .caption(caption, ("sans-serif", 16).into_font())
            .margin(8)
            .x_label_area_size(28)
            .y_label_area_size(56)
            .build_cartesian_2d(0.0..names.len().max(1) as f64, 0.0..height)
            .map_err(plot_error)?;
        let label = |x: &f64| {
            names
                .get(*x as usize)
                .map_or(String::new(), ToString::to_string)
        };
        chart
            .configure_mesh()
            .disable_x_mesh()
            .x_labels(names.len().max(1))
            .x_label_formatter(&label)
            .draw()
            .map_err(plot_error)?;
        let width = 0.9 / variants.len().max(1) as f64;
        for (index, variant) in variants.iter().enumerate() {
            let color = Palette99::pick(index);
            let bars = variant.tiers.iter().map(|tier| {
                let place = names
                    .iter()
                    .position(|name| *name == tier.tier)
                    .unwrap_or(0) as f64;
                let left = place + 0.05 + index as f64 * width;
                Rectangle::new(
                    [(left, 0.0), (left + width * 0.9, value(tier))],
                    color.filled(),
                )
            });
            chart
                .draw_series(bars)
                .map_err(plot_error)?
                .label(variant.name.as_str())
                .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], color.filled()));
        }
        chart
            .configure_series_labels()
            .background_style(WHITE.mix(0.8))
            .draw()
            .map_err(plot_error)?;
        area.present().map_err(plot_error)?;
    }
    Ok(text)
}
