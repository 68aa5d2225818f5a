//! The parameters that are varied, and the scenario of each value.

use std::fmt::Write;

/// The parameter that is varied.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SlopeAxis {
    /// Number of boxes, in two failure domains, with light load.
    Boxes,
    /// Number of endpoints, with four boxes.
    Endpoints,
    /// Number of workspaces, a tenth of them backlogged, with four boxes.
    Workspaces,
    /// Requests per second, with four boxes.
    Requests,
    /// Configuration changes per hundred seconds, with four boxes.
    Changes,
    /// Number of failure domains, with one box each.
    Domains,
}

/// The shape of one point.
struct FleetSize {
    domains: usize,
    boxes_per_domain: usize,
    endpoints: usize,
    slots: usize,
    workspaces: usize,
    requests_per_second: f64,
    backlogged: usize,
    changes_per_second: f64,
}

impl SlopeAxis {
    /// All axes, in the order in which they are measured.
    pub const ALL: [Self; 6] = [
        Self::Boxes,
        Self::Endpoints,
        Self::Workspaces,
        Self::Requests,
        Self::Changes,
        Self::Domains,
    ];

    /// Returns the name of the axis.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Boxes => "boxes",
            Self::Endpoints => "endpoints",
            Self::Workspaces => "workspaces",
            Self::Requests => "requests-per-second",
            Self::Changes => "changes-per-100-seconds",
            Self::Domains => "domains",
        }
    }

    /// Returns the values at which the axis is measured.
    pub const fn sizes(self) -> &'static [usize] {
        match self {
            Self::Boxes => &[2, 4, 8, 16, 32],
            Self::Endpoints => &[20, 200, 600, 1_500],
            Self::Workspaces => &[16, 150, 500, 1_500],
            Self::Requests => &[20, 80, 160, 320],
            Self::Changes => &[0, 50, 200],
            Self::Domains => &[1, 2, 4, 8],
        }
    }

    const fn fleet_size(self, size: usize) -> FleetSize {
        let base = FleetSize {
            domains: 2,
            boxes_per_domain: 2,
            endpoints: 20,
            slots: 16,
            workspaces: 16,
            requests_per_second: 20.0,
            backlogged: 0,
            changes_per_second: 0.0,
        };
        match self {
            Self::Boxes => FleetSize {
                boxes_per_domain: size / 2,
                endpoints: 32,
                ..base
            },
            Self::Endpoints => FleetSize {
                endpoints: size,
                ..base
            },
            Self::Workspaces => FleetSize {
                workspaces: size,
                backlogged: size / 10,
                ..base
            },
            Self::Requests => FleetSize {
                requests_per_second: size as f64,
                endpoints: 40,
                ..base
            },
            Self::Changes => FleetSize {
                changes_per_second: size as f64 / 100.0,
                ..base
            },
            Self::Domains => FleetSize {
                domains: size,
                boxes_per_domain: 1,
                ..base
            },
        }
    }

    /// Returns the scenario file for one value.
    pub fn scenario_ini(self, size: usize) -> String {
        let fleet_size = self.fleet_size(size);
        let domains: Vec<String> = (0..fleet_size.domains)
            .map(|number| format!("d{number}"))
            .collect();
        let mut text = format!(
            "[fleet]\ndomains = {}\nboxes_per_domain = {}\nchanges_per_second = {}\n\
             [pool chat]\nkind = engine\nendpoints = {}\nslots = {}\ntokens_per_second = 30\n",
            domains.join(", "),
            fleet_size.boxes_per_domain,
            fleet_size.changes_per_second,
            fleet_size.endpoints,
            fleet_size.slots
        );
        let open_loops = (fleet_size.workspaces - fleet_size.backlogged).min(16);
        let rate = fleet_size.requests_per_second / open_loops as f64;
        for number in 0..fleet_size.workspaces {
            let load = match number {
                number if number < fleet_size.backlogged => "arrival.chat = closed:6\n".to_owned(),
                number if number < fleet_size.backlogged + open_loops => {
                    format!("arrival.chat = open:{rate}\n")
                }
                _ => String::new(),
            };
            // Writing to a `String` cannot fail.
            let _ = write!(text, "[workspace w{number}]\n{load}");
        }
        text
    }
}
