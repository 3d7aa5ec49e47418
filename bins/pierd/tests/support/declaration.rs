//! The declaration of the test cell.

use persimmonpier::core::keys;

pub const KEY: &str = "key-of-the-retail-team";
pub const OTHER_KEY: &str = "second-key-of-the-retail-team";

/// The resources of a number of tasks together, as JSON.
pub fn amounts(tasks: u64) -> String {
    format!(
        r#"{{ "cpu_milli": {}, "memory_mb": {}, "slots": {tasks}, "connections": {tasks} }}"#,
        1_000 * tasks,
        500 * tasks
    )
}

/// A declaration of one team with an urgent, a batch and a gang queue.
pub struct Declaration {
    /// Whether the team has [`OTHER_KEY`] too.
    pub other_key: bool,
    /// The availability zone that is out of service.
    pub zone_out: Option<&'static str>,
    pub share: u32,
    /// The largest number of running tasks of the team. None for no limit.
    pub limit_tasks: Option<u64>,
}

impl Default for Declaration {
    fn default() -> Self {
        Self { other_key: true, zone_out: None, share: 1, limit_tasks: None }
    }
}

impl Declaration {
    pub fn to_text(&self) -> String {
        let mut declared_keys = format!(r#"{{ id: "retail-1", sha256: "{}" }},"#, hash(KEY));
        if self.other_key {
            declared_keys += &format!(r#"{{ id: "retail-2", sha256: "{}" }}"#, hash(OTHER_KEY));
        }
        let mut zones = String::new();
        if let Some(zone) = self.zone_out {
            zones = format!(r#"availability_zones: [{{ name: "{zone}", status: "out" }}],"#);
        }
        let mut limit = String::new();
        if let Some(tasks) = self.limit_tasks {
            limit = format!("limit: {},", amounts(tasks));
        }
        let mut queues = String::new();
        for (queue, class) in [("quote", "urgent"), ("invoices", "batch"), ("plan", "gang")] {
            queues += &format!(
                r#"{{ name: "{queue}", class: "{class}", teams: ["retail"], resources: {} }},"#,
                amounts(1)
            );
        }
        format!(
            r#"{{
                cell: "test", {zones}
                teams: [{{ name: "retail", share: {}, {limit} keys: [{declared_keys}] }}],
                queues: [{queues}],
            }}"#,
            self.share
        )
    }
}

/// The hash of a key or token, in the format of settings and declarations.
pub fn hash(secret: &str) -> String {
    keys::KeyHash::of(secret).to_hex()
}
