//! The sizes that are varied, and the scenario of each.

use std::fmt::Write;

/// What is varied.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SlopeAxis {
    /// Boxes, in two domains, with little load.
    Boxes,
    /// Endpoints, over four boxes.
    Endpoints,
    /// Workspaces, a tenth of them backlogged, over four boxes.
    Workspaces,
    /// Requests a second over four boxes.
    Requests,
    /// Configuration changes in a hundred seconds, over four boxes.
    Changes,
    /// Domains of one box each.
    Domains,
}

/// The shape of one point.
struct SlopeShape {
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
    /// Every axis.
    pub const ALL: [Self; 6] = [
        Self::Boxes,
        Self::Endpoints,
        Self::Workspaces,
        Self::Requests,
        Self::Changes,
        Self::Domains,
    ];

    /// Returns the axis's name.
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

    /// Returns the sizes that are measured.
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

    const fn shape(self, size: usize) -> SlopeShape {
        let base = SlopeShape {
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
            Self::Boxes => SlopeShape {
                boxes_per_domain: size / 2,
                endpoints: 32,
                ..base
            },
            Self::Endpoints => SlopeShape {
                endpoints: size,
                ..base
            },
            Self::Workspaces => SlopeShape {
                workspaces: size,
                backlogged: size / 10,
                ..base
            },
            Self::Requests => SlopeShape {
                requests_per_second: size as f64,
                endpoints: 40,
                ..base
            },
            Self::Changes => SlopeShape {
                changes_per_second: size as f64 / 100.0,
                ..base
            },
            Self::Domains => SlopeShape {
                domains: size,
                boxes_per_domain: 1,
                ..base
            },
        }
    }

    /// Writes the scenario of one size.
    pub fn scenario(self, size: usize) -> String {
        let shape = self.shape(size);
        let domains: Vec<String> = (0..shape.domains)
            .map(|number| format!("d{number}"))
            .collect();
        let mut text = format!(
            "[fleet]\ndomains = {}\nboxes_per_domain = {}\nchanges_per_second = {}\n\
             [pool chat]\nkind = engine\nendpoints = {}\nslots = {}\ntokens_per_second = 30\n",
            domains.join(", "),
            shape.boxes_per_domain,
            shape.changes_per_second,
            shape.endpoints,
            shape.slots
        );
        let open = (shape.workspaces - shape.backlogged).min(16);
        let rate = shape.requests_per_second / open as f64;
        for number in 0..shape.workspaces {
            let load = match number {
                number if number < shape.backlogged => "arrival.chat = closed:6\n".to_owned(),
                number if number < shape.backlogged + open => {
                    format!("arrival.chat = open:{rate}\n")
                }
                _ => String::new(),
            };
            // Writing to a string does not fail.
            let _ = write!(text, "[workspace w{number}]\n{load}");
        }
        text
    }
}
