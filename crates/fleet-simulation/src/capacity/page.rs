//! The tables of the page, and their places in it. The prose around them is written by people.

use super::target::Sum;
use super::{Basis, Capacity, CapacityError, Role, Row};
use std::fmt::Write;

const END: &str = "<!-- /capacity -->";

fn begins(name: &str) -> String {
    format!("<!-- capacity:{name} -->")
}

/// A figure for people: three digits that mean something, thousands apart.
pub fn figure(value: f64) -> String {
    if value == 0.0 {
        return "0".to_owned();
    }
    let decimals = (2 - value.abs().log10().floor() as i32).clamp(0, 9) as usize;
    let short: f64 = format!("{value:.2e}").parse().unwrap_or(value);
    let text = format!("{short:.decimals$}");
    let (whole, part) = text.split_once('.').unwrap_or((&text, ""));
    let mut out = String::new();
    for (n, digit) in whole.chars().enumerate() {
        if n > 0 && (whole.len() - n) % 3 == 0 {
            out.push(',');
        }
        out.push(digit);
    }
    let part = part.trim_end_matches('0');
    if part.is_empty() {
        out
    } else {
        format!("{out}.{part}")
    }
}

fn of_one(row: &Row) -> String {
    match row.law {
        super::Law::Constant => figure(row.intercept),
        super::Law::Linear => {
            format!("{} + {} a {}", figure(row.intercept), figure(row.slope), row.per.word())
        }
        super::Law::NLogN => format!("{} + {} n log2 n", figure(row.intercept), figure(row.slope)),
        super::Law::Squared => format!("{} + {} n²", figure(row.intercept), figure(row.slope)),
        super::Law::Cubed => format!("{} + {} n³", figure(row.intercept), figure(row.slope)),
    }
}

fn law(row: &Row) -> &'static str {
    match row.law {
        super::Law::Constant => "constant",
        super::Law::Linear => "linear",
        super::Law::NLogN => "n log n",
        super::Law::Squared => "n squared",
        super::Law::Cubed => "n cubed",
    }
}

fn quantity(row: &Row) -> String {
    serde_json::to_value(row.quantity).ok().and_then(|v| v.as_str().map(str::to_owned)).unwrap_or_default()
}

fn over(need: f64, limit: f64) -> String {
    if limit > 0.0 {
        format!("{:.3}", need / limit)
    } else {
        "-".to_owned()
    }
}

fn role(capacity: &Capacity, role: Role) -> String {
    let mut out = String::from(
        "| figure | measured at | law | slope | off by, at most | largest run | target | there | how known | limit |\n\
         | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n",
    );
    let mut mechanisms: Vec<&str> = Vec::new();
    for row in capacity.rows.iter().filter(|r| r.role == role) {
        let points: Vec<String> =
            row.points.iter().map(|p| format!("{}: {}", figure(p.size), figure(p.value))).collect();
        let beyond = row.target / row.largest.max(1.0);
        let basis = match row.basis {
            Basis::Measured => "measured".to_owned(),
            Basis::WorkedOut => format!("worked out, {beyond:.1} times the largest run"),
        };
        let _ = writeln!(
            out,
            "| {}, {} | {} | {} | {} | {:.0}% | {} | {} {}s | {} | {} | {} |",
            row.name,
            quantity(row),
            points.join("; "),
            law(row),
            of_one(row),
            row.residual * 100.0,
            figure(row.largest),
            figure(row.target),
            row.per.word(),
            figure(row.at_target),
            basis,
            row.limit.map_or("-".to_owned(), figure),
        );
        if !mechanisms.contains(&row.mechanism.as_str()) {
            mechanisms.push(&row.mechanism);
        }
    }
    let _ = writeln!(out, "\nCarried by: {}.", mechanisms.join("; "));
    out
}

fn sums(capacity: &Capacity, wanted: &[Sum]) -> String {
    let mut out = String::from(
        "| part | there | times, day | times, peak | day | peak | how known |\n| --- | --- | --- | --- | --- | --- | --- |\n",
    );
    for total in capacity.totals.iter().filter(|t| wanted.contains(&t.sum)) {
        for row in &capacity.rows {
            for counted in row.counted.iter().filter(|c| c.sum == total.sum) {
                let basis = if row.basis == Basis::Measured { "measured" } else { "worked out" };
                let _ = writeln!(
                    out,
                    "| {}: {} | {} | {} | {} | {} | {} | {} |",
                    row.role.table(),
                    row.name,
                    figure(row.at_target),
                    figure(counted.day),
                    figure(counted.peak),
                    figure(row.at_target * counted.day),
                    figure(row.at_target * counted.peak),
                    basis
                );
            }
        }
        let _ = writeln!(
            out,
            "| **{}**, limit {} | | | | **{}** ({} of the limit) | **{}** ({}) | |",
            total.sum.word(),
            figure(total.limit),
            figure(total.day),
            over(total.day, total.limit),
            figure(total.peak),
            over(total.peak, total.limit),
        );
    }
    out
}

fn needs(capacity: &Capacity) -> String {
    let mut all: Vec<(f64, String)> = Vec::new();
    let sums = capacity.totals.iter().filter(|t| t.limit > 0.0);
    for total in sums {
        let (need, limit) = (total.peak.max(total.day), total.limit);
        let line = format!(
            "| {} | {} | {} | {} | the sum above |",
            total.sum.word(),
            figure(need),
            figure(limit),
            over(need, limit)
        );
        all.push((need / limit, line));
    }
    for (row, limit) in capacity.rows.iter().filter_map(|r| Some((r, r.limit?))) {
        let line = format!(
            "| {}: {}, {} | {} | {} | {} | {} |",
            row.role.table(),
            row.name,
            quantity(row),
            figure(row.at_target),
            figure(limit),
            over(row.at_target, limit),
            row.mechanism
        );
        all.push((row.at_target / limit.max(1e-12), line));
    }
    all.sort_by(|a, b| b.0.total_cmp(&a.0).then_with(|| a.1.cmp(&b.1)));
    let mut out = String::from(
        "| need | at the target | limit | over the limit | carried by |\n| --- | --- | --- | --- | --- |\n",
    );
    all.iter().for_each(|l| {
        let _ = writeln!(out, "{}", l.1);
    });
    out
}

fn machine(capacity: &Capacity) -> String {
    let m = &capacity.machine;
    format!(
        "Measured on {} by `make measure-capacity`{}: {}, {} cores, of which the run used {}.\n",
        capacity.date,
        if capacity.quick { " with small sizes only (`--quick`)" } else { "" },
        m.cpu,
        m.cores,
        m.used
    )
}

/// All tables by their names.
pub fn tables(capacity: &Capacity) -> Vec<(String, String)> {
    use Sum::*;
    let mut all = vec![("machine".to_owned(), machine(capacity))];
    all.extend(Role::ALL.map(|r| (r.table().to_owned(), role(capacity, r))));
    all.push(("doorman".to_owned(), sums(capacity, &[InstanceCpu, InstanceMemory, InstanceBytes])));
    all.push(("control".to_owned(), sums(capacity, &[ControlCpu, ControlBytes, ControlConnections])));
    all.push(("needs".to_owned(), needs(capacity)));
    all
}

/// The page with its tables as the file has them; all else stays.
///
/// # Errors
/// A table's place is missing, not ended, or there twice, or there is one of a name that there isn't.
pub fn filled(page: &str, path: &str, capacity: &Capacity) -> Result<String, CapacityError> {
    let bad = |why: String| CapacityError::Page { path: path.to_owned(), why };
    let mut out = page.to_owned();
    let tables = tables(capacity);
    for (name, table) in &tables {
        let mark = begins(name);
        let Some(at) = out.find(&mark) else { return Err(bad(format!("no place for the table {name}"))) };
        let from = at + mark.len();
        if out[from..].contains(&mark) {
            return Err(bad(format!("two places for the table {name}")));
        }
        let ends = out[from..].find(END).filter(|e| !out[from..from + e].contains("<!-- capacity:"));
        let Some(to) = ends else { return Err(bad(format!("the table {name} has no end"))) };
        out.replace_range(from..from + to, &format!("\n{table}"));
    }
    let places = out.matches("<!-- capacity:").count();
    if places > tables.len() {
        return Err(bad(format!("{places} places for {} tables", tables.len())));
    }
    Ok(out)
}
