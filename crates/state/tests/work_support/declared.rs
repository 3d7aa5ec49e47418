//! Declarations and requests for the tests.

use pier_core::{ids, keys, resources, task};
use pier_decl::model;
use pier_state::event::CallerRequest;

use super::{KEYS, amount};

/// A declaration with the teams red and blue, three urgent queues and a batch queue. The queue
/// `open` needs no key, `keyed` is for all teams, and `reds` is for red only.
pub fn declaration(limits: [Option<resources::Resources>; 2]) -> model::Declaration {
    let mut declaration = model::Declaration::default();
    declaration.policy.name = "none".into();
    for ((team, key), limit) in KEYS.into_iter().zip(limits) {
        let key = model::KeyDecl { id: team.into(), sha256: keys::KeyHash::of(key) };
        declaration.teams.push(model::TeamDecl {
            name: team.into(),
            share: 1,
            limit,
            keys: vec![key],
        });
    }
    declaration.queues = vec![queue("open", Some("red")), queue("keyed", None)];
    let only_red = model::QueueDecl { teams: vec!["red".into()], ..queue("reds", None) };
    declaration.queues.push(only_red);
    let batch = model::QueueDecl { class: task::Class::Batch, ..queue("batch", None) };
    declaration.queues.push(batch);
    declaration
}

fn queue(name: &str, open_for: Option<&str>) -> model::QueueDecl {
    model::QueueDecl {
        name: name.into(),
        class: task::Class::Urgent,
        teams: Vec::new(),
        open_for: open_for.map(ids::TeamId::from),
        resources: amount(1),
        max_wait_ms: 2_800,
        run_estimate_ms: 0,
        backlog: 1_000,
    }
}

pub fn request(queue: &str, body: &str) -> CallerRequest {
    CallerRequest {
        queue: queue.into(),
        key: None,
        idempotency_key: None,
        repeatable: false,
        deadline: None,
        body: body.into(),
    }
}
