//! Measures the cost of control traffic against the number of agents: bytes, messages, processor
//! time, memory and use of the log, with real entries and agents over loopback and fake executors.
//!
//! `control_cost [--agents 2,4,8] [--entries 1] [--settle 2] [--seconds 4] [--starts 31]`

mod counting_log;
mod fit;
mod fleet;
mod load;
mod sample;

use std::{error::Error, time::Duration};

use agent::RenewalPeriod;
use getopts::Options;
use metrics_exporter_prometheus::PrometheusBuilder;

use crate::{
    fit::Fit,
    fleet::Fleet,
    load::Load,
    sample::{Cost, Sample},
};

/// Number of agents at the size that the system is designed for; each worker has one agent.
const TARGET_AGENTS: f64 = 1_000.0;

struct Args {
    agents: Vec<usize>,
    entries: usize,
    settle: Duration,
    window: Duration,
    starts_per_agent: u32,
}

impl Args {
    fn parse() -> Result<Self, Box<dyn Error>> {
        let mut opts = Options::new();
        opts.optopt("", "agents", "numbers of agents, growing", "N,N");
        opts.optopt("", "entries", "number of entries", "N");
        opts.optopt("", "settle", "seconds before each measurement", "S");
        opts.optopt("", "seconds", "seconds of each measurement", "S");
        opts.optopt("", "starts", "task starts a second for each agent; 0 for none", "N");
        let matches = opts.parse(std::env::args().skip(1))?;
        let agents = matches.opt_str("agents").unwrap_or_else(|| "2,4,8,16,32".to_owned());
        Ok(Self {
            agents: agents.split(',').map(str::parse).collect::<Result<_, _>>()?,
            entries: matches.opt_get_default("entries", 1)?,
            settle: Duration::from_secs(matches.opt_get_default("settle", 2)?),
            window: Duration::from_secs(matches.opt_get_default("seconds", 4)?),
            starts_per_agent: matches.opt_get_default("starts", 31)?,
        })
    }
}

/// Costs at one number of agents.
struct Point {
    agents: usize,
    rest: Cost,
    load: Option<Cost>,
}

impl Point {
    /// Returns the cost under load, or at rest when no load was requested.
    fn loaded(&self) -> &Cost {
        self.load.as_ref().unwrap_or(&self.rest)
    }
}

/// A value of each point, fitted by a line over the number of agents.
struct Series {
    name: &'static str,
    value: fn(&Point) -> f64,
}

fn main() -> Result<(), Box<dyn Error>> {
    let args = Args::parse()?;
    let metrics = PrometheusBuilder::new().install_recorder()?;
    let mut fleet = Fleet::start(args.entries)?;
    let measure = |fleet: &Fleet| {
        let before = Sample::take(&metrics, fleet.log());
        std::thread::sleep(args.window);
        Sample::take(&metrics, fleet.log()).since(&before)
    };
    let start = Sample::take(&metrics, fleet.log());
    println!("{}", Cost::HEADER);
    let mut points = Vec::new();
    for agents in &args.agents {
        fleet.grow_to(*agents)?;
        std::thread::sleep(args.settle);
        let rest = measure(&fleet);
        println!("{}", rest.row("rest", *agents, args.entries));
        let load = (args.starts_per_agent > 0).then(|| {
            let load = Load::start(&fleet, args.starts_per_agent);
            std::thread::sleep(args.settle);
            let cost = measure(&fleet);
            load.stop();
            println!("{}", cost.row("load", *agents, args.entries));
            cost
        });
        points.push(Point { agents: *agents, rest, load });
    }
    std::thread::sleep(args.settle);
    fleet.shut_down_zone();
    let loss = measure(&fleet);
    println!("{}", loss.row("zone lost", fleet.len(), args.entries));
    print_calls("rest", points.last().map(|point| &point.rest));
    print_calls("load", points.last().and_then(|point| point.load.as_ref()));
    print_calls("zone lost", Some(&loss));
    print_calls("whole run", Some(&Sample::take(&metrics, fleet.log()).since(&start)));
    print_renewals(&points);
    print_fits(&points, args.entries);
    std::process::exit(0);
}

fn print_calls(phase: &str, cost: Option<&Cost>) {
    for call in cost.iter().flat_map(|cost| &cost.calls) {
        println!(
            "{phase}: {} messages {} bytes each {:.0}",
            call.name,
            call.messages,
            call.bytes as f64 / call.messages.max(1) as f64
        );
    }
}

/// Prints the cost of agents' renewals to an entry at their longest period.
fn print_renewals(points: &[Point]) {
    let renewals = points.iter().flat_map(|point| &point.rest.calls);
    let renewals: Vec<_> = renewals.filter(|call| call.name == "renew").collect();
    let messages: u64 = renewals.iter().map(|call| call.messages).sum();
    let bytes: u64 = renewals.iter().map(|call| call.wire_bytes()).sum();
    let each = 2.0 * bytes as f64 / messages.max(1) as f64;
    let period_s = RenewalPeriod::LONGEST.as_secs_f64();
    println!(
        "renewal and answer: {each:.0} B with headers; {TARGET_AGENTS} agents every {period_s} s: {:.0} B/s for an entry",
        each * TARGET_AGENTS / period_s
    );
}

fn print_fits(points: &[Point], entries: usize) {
    let per_entry = |value: f64| value / entries as f64;
    let series = [
        Series { name: "entry cpu at rest, ms/s", value: |p| p.rest.entry_cpu_ms_per_s() },
        Series { name: "entry cpu under load, ms/s", value: |p| p.loaded().entry_cpu_ms_per_s() },
        Series { name: "agents' cpu at rest, ms/s in all", value: |p| p.rest.agent_cpu_ms_per_s() },
        Series {
            name: "agents' cpu under load, ms/s in all",
            value: |p| p.loaded().agent_cpu_ms_per_s(),
        },
        Series { name: "control at rest, B/s", value: |p| p.rest.control_bytes_per_s() },
        Series { name: "memory of all, KB", value: |p| p.rest.rss_kb as f64 },
    ];
    for Series { name, value } in series {
        let fit = Fit::of(points.iter().map(|p| (p.agents as f64, per_entry(value(p)))));
        println!(
            "fit for an entry: {name} = {fit}; at {TARGET_AGENTS}: {:.1}",
            fit.at(TARGET_AGENTS)
        );
    }
}
