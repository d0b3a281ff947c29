//! Formats the report of a run as a self-contained HTML page and as a text summary.

use std::fmt::Write as _;

use crate::{
    errors::LoadError,
    plots,
    reports::{RunReport, TierReport, VariantReport},
};

const STYLE: &str = "body{font:14px sans-serif;margin:2em;max-width:70em}table{border-collapse:\
collapse;margin:1em 0}td,th{border:1px solid #bbb;padding:2px 8px;text-align:right}th:first-child,\
td:first-child{text-align:left}.no{color:#b00}.yes{color:#070}";

/// Escapes a text for HTML element content.
fn escape(text: &str) -> String {
    let text = text.replace('&', "&amp;");
    text.replace('<', "&lt;").replace('>', "&gt;")
}

/// Returns the report of a run as an HTML page.
///
/// # Errors
/// Fails if a plot can't be drawn.
pub fn html(report: &RunReport) -> Result<String, LoadError> {
    let name = escape(&report.experiment);
    let mut page = format!(
        "<!doctype html><html lang=\"en\"><meta charset=\"utf-8\"><title>{name}</title>\
         <style>{STYLE}</style><h1>{name}</h1><p>seed {}, mean rate {:.1} requests/s</p>",
        report.seed, report.rate,
    );
    push_targets(&mut page, report);
    page.push_str(&plots::tier_bars(
        "goodput by tier",
        &report.variants,
        TierReport::goodput,
    )?);
    page.push_str(&plots::tier_bars(
        "p95 of the first token by tier, ms",
        &report.variants,
        |tier| tier.first_token.p95_ms,
    )?);
    page.push_str(&plots::good_over_time(&report.variants)?);
    for variant in &report.variants {
        push_variant(&mut page, variant);
    }
    page.push_str("</html>\n");
    Ok(page)
}

fn push_targets(page: &mut String, report: &RunReport) {
    page.push_str(
        "<table><tr><th>target</th><th>measured</th><th>met</th><th>decided by</th></tr>",
    );
    for result in &report.targets {
        let measured = result
            .measured
            .map_or("-".to_owned(), |value| format!("{value:.4}"));
        let (class, met) = if result.met {
            ("yes", "yes")
        } else {
            ("no", "no")
        };
        let _ = write!(
            page,
            "<tr><td>{}</td><td>{measured}</td><td class=\"{class}\">{met}</td><td>{}</td></tr>",
            escape(&result.target.label()),
            escape(&result.decided_by),
        );
    }
    page.push_str("</table>");
}

fn push_variant(page: &mut String, variant: &VariantReport) {
    let _ = write!(
        page,
        "<h2>{}</h2><table><tr><th>tier</th><th>offered</th><th>good</th><th>goodput</th>\
         <th>late</th><th>wrong</th><th>cut</th><th>gave up</th><th>failed</th><th>not-run</th>\
         <th>unknown</th><th>first token p50/p95/p99 ms</th><th>between tokens p50/p95/p99 ms</th>\
         </tr>",
        escape(&variant.name),
    );
    for tier in &variant.tiers {
        let _ = write!(
            page,
            "<tr><td>{}</td><td>{}</td><td>{}</td><td>{:.4}</td><td>{}</td><td>{}</td><td>{}</td>\
             <td>{}</td><td>{}</td><td>{}</td><td>{}</td><td>{}</td><td>{}</td></tr>",
            escape(&tier.tier),
            tier.offered,
            tier.good,
            tier.goodput(),
            tier.late,
            tier.wrong,
            escape(&format!("{:?}", tier.cut)),
            tier.gave_up,
            tier.failed,
            escape(&format!("{:?}", tier.not_run)),
            escape(&format!("{:?}", tier.unknown)),
            format_quantiles(&tier.first_token),
            format_quantiles(&tier.between_tokens),
        );
    }
    let prefill = &variant.prefill;
    let runs = &variant.runs;
    let _ = write!(
        page,
        "</table><p>prefill: {prefill:?}, wasted {:.3}%</p><p>output tokens: {}, cancelled {}</p>\
         <p>hardware: {}</p><p>runs: {}</p><p>counters: {}</p>",
        100.0 * prefill.wasted_share(),
        variant.output,
        variant.output_cancelled,
        escape(&format!("{:?}", variant.hardware)),
        escape(&format!("{runs:?}")),
        escape(&format!("{:?}", variant.counters)),
    );
}

fn format_quantiles(times: &crate::reports::QuantileReport) -> String {
    format!(
        "{:.1} / {:.1} / {:.1}",
        times.p50_ms, times.p95_ms, times.p99_ms
    )
}

/// Returns the text summary that is printed after a run.
#[must_use]
pub fn summary(report: &RunReport) -> String {
    let mut text = format!(
        "{}: seed {}, mean rate {:.1} requests/s\n",
        report.experiment, report.seed, report.rate
    );
    for variant in &report.variants {
        let _ = writeln!(
            text,
            "  {:<14} good {}/{} wrong {} inversions {} double {} lost {} false-not-run {} \
             prefill {} (ideal {}) wasted {:.2}%",
            variant.name,
            variant.good(),
            variant.offered(),
            variant.wrong(),
            variant.runs.inversions,
            variant.runs.double_runs + variant.runs.double_dispatches,
            variant.runs.lost_records,
            variant.runs.false_not_run,
            variant.prefill.computed,
            variant.prefill.ideal,
            100.0 * variant.prefill.wasted_share(),
        );
        for tier in &variant.tiers {
            let _ = writeln!(
                text,
                "    {:<10} goodput {:.4} of {:<5} late {} cut {:?} gave-up {} failed {} not-run {:?} \
                 unknown {:?} first {} between {}",
                tier.tier,
                tier.goodput(),
                tier.offered,
                tier.late,
                tier.cut,
                tier.gave_up,
                tier.failed,
                tier.not_run,
                tier.unknown,
                format_quantiles(&tier.first_token),
                format_quantiles(&tier.between_tokens),
            );
        }
        for (name, class) in &variant.hardware {
            let _ = writeln!(
                text,
                "    {name:<10} runners {} finished {} prefill {} output {} peak running {} waiting {}",
                class.runners,
                class.finished,
                class.computed,
                class.output,
                class.running_peak,
                class.waiting_peak,
            );
        }
        for example in &variant.runs.examples {
            let _ = writeln!(text, "    breach: {example}");
        }
    }
    for result in &report.targets {
        let measured = result
            .measured
            .map_or("-".to_owned(), |value| format!("{value:.4}"));
        let met = if result.met { "met" } else { "NOT MET" };
        let label = result.target.label();
        let _ = writeln!(
            text,
            "  {met:<8} {label}: {measured} ({})",
            result.decided_by
        );
    }
    text
}
