//! Benchmarks of routing and admission on a virtual clock, and of whole nodes on loopback.

mod crest;
mod figure;
mod head_of_line;
mod queue_chain;
mod queue_load;
mod queue_model;
mod queue_pick;
mod queue_sizes;
mod queue_target;
mod schedule;
mod straggler;
mod wall;

use std::process::ExitCode;

use figure::Figure;

const USAGE: &str = "
Run the benchmark cases and compare each figure with its bound.

Usage:
    bench [--check] [--wall [--nodes LIST]] [--baseline] [--seed N] [--json FILE]
          [--known-red FILE]

Options:
    --check      Run the deterministic cases on a virtual clock; exit 1 if a figure breaks its
                 bound.
    --wall       Run the cases with real sockets on loopback; their bounds never fail the run.
    --nodes LIST Numbers of nodes of the convergence cases [default: 12,50,100,200].
    --baseline   Run the same load under simple baseline policies, side by side.
    --seed N     Seed of the arrivals and the random choices [default: 1].
    --known-red FILE  A figure that FILE lists as 'figure: NAME' doesn't fail the run,
                 whatever its value.
    --json FILE  Write the figures to FILE as JSON lines.
";

#[derive(Debug)]
struct Args {
    check: bool,
    wall: bool,
    nodes: Vec<usize>,
    baseline: bool,
    seed: u64,
    json: Option<String>,
    known_red: Option<String>,
}

fn parse_args() -> Result<Args, pico_args::Error> {
    let mut args = pico_args::Arguments::from_env();
    if args.contains(["-h", "--help"]) {
        println!("{}", USAGE.trim());
        std::process::exit(0);
    }
    let nodes: Option<String> = args.opt_value_from_str("--nodes")?;
    let nodes = nodes.as_deref().unwrap_or("12,50,100,200");
    Ok(Args {
        wall: args.contains("--wall"),
        nodes: nodes.split(',').filter_map(|n| n.parse().ok()).collect(),
        check: args.contains("--check"),
        baseline: args.contains("--baseline"),
        seed: args.opt_value_from_str("--seed")?.unwrap_or(1),
        json: args.opt_value_from_str("--json")?,
        known_red: args.opt_value_from_str("--known-red")?,
    })
}

fn main() -> ExitCode {
    let args = match parse_args() {
        Ok(args) => args,
        Err(e) => {
            eprintln!("bench: {e}\n{}", USAGE.trim());
            return ExitCode::from(2);
        }
    };
    let mut figures = Vec::new();
    for baseline in [false, true] {
        if (baseline && args.baseline) || (!baseline && args.check) {
            let cases = [head_of_line::run, crest::run, straggler::run];
            let rows = queue_sizes::in_parallel(&cases, |run| run(args.seed, baseline));
            figures.extend(rows.into_iter().flatten());
        }
    }
    let wall = if args.wall {
        wall::run(&args.nodes)
    } else {
        Vec::new()
    };
    let known_red = match args.known_red.as_deref().map(read_known_red).transpose() {
        Ok(names) => names.unwrap_or_default(),
        Err(e) => {
            eprintln!("bench: cannot read the --known-red file: {e}");
            return ExitCode::from(2);
        }
    };
    report(&figures, &wall, &known_red, args.json.as_deref())
}

/// Returns the names on the `figure: NAME` lines of a file; other lines are ignored.
fn read_known_red(path: &str) -> std::io::Result<Vec<String>> {
    let contents = std::fs::read_to_string(path)?;
    let names = contents.lines().filter_map(|l| l.strip_prefix("figure: "));
    Ok(names.map(str::to_owned).collect())
}

/// Prints the figures, writes them to the file `json`, and returns the exit code. `wall` figures
/// and those named in `known_red` don't fail the run.
fn report(
    figures: &[Figure],
    wall: &[Figure],
    known_red: &[String],
    json: Option<&str>,
) -> ExitCode {
    let all_figures = || figures.iter().chain(wall);
    for f in all_figures() {
        println!("{f}");
    }
    if let Some(path) = json {
        let lines: String = all_figures().map(|f| f.to_json() + "\n").collect();
        if let Err(e) = std::fs::write(path, lines) {
            eprintln!("bench: cannot write {path}: {e}");
            return ExitCode::from(2);
        }
    }
    for name in known_red {
        println!("known red, doesn't fail the run: {name}");
    }
    let is_failure = |f: &Figure| f.is_out_of_bounds() && !known_red.contains(&f.name);
    if figures.iter().any(is_failure) {
        ExitCode::FAILURE
    } else {
        ExitCode::SUCCESS
    }
}
