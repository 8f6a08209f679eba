//! Who calls, and what belongs to whom.

mod support;

use stageyoke_directory::Tenant;
use stageyoke_front::request::{Figures, KeptIdentifiers};
use stageyoke_types::Text;
use support::names;
use tokio::time::Instant;

/// One tenant names another's program and turn: to the stores they are others.
#[test]
fn what_is_kept_belongs_to_a_tenant() {
    let mut headers = hyper::HeaderMap::new();
    for (name, value) in [("id", "r-2"), ("program", "p"), ("previous", "r-1")] {
        headers.insert(name, hyper::header::HeaderValue::from_static(value));
    }
    let figures = Figures::read(&headers, &names(), Instant::now()).expect("figures");
    let kept = |name: Option<&str>| {
        let tenant = name.map(|name| Tenant {
            name: Text::from(name),
            priority: None,
            limit: None,
        });
        KeptIdentifiers::of(&figures, tenant.as_ref())
    };
    let (ann, bob, nobody) = (kept(Some("ann")), kept(Some("bob")), kept(None));
    assert_ne!(ann.previous, bob.previous);
    assert_ne!(ann.program, bob.program);
    assert_ne!(ann.turn, bob.turn);
    assert_eq!(
        nobody.turn.as_str(),
        "r-2",
        "without tenants nothing changes"
    );
    assert_eq!(ann.turn, kept(Some("ann")).turn);
}

#[test]
fn what_names_no_program_has_none_for_a_tenant_either() {
    let mut headers = hyper::HeaderMap::new();
    headers.insert("id", hyper::header::HeaderValue::from_static("r-1"));
    let figures = Figures::read(&headers, &names(), Instant::now()).expect("figures");
    let tenant = Tenant {
        name: Text::from("ann"),
        priority: None,
        limit: None,
    };
    let kept = KeptIdentifiers::of(&figures, Some(&tenant));
    assert!(kept.program.is_empty() && kept.previous.is_none());
}
