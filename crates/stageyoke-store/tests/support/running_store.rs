//! Stores in this process, with loopback sockets and disks of their own.

use std::net::SocketAddr;
use std::rc::Rc;

use stageyoke_directory::{GroupNumber, Member, MemberState, Members, StoreGroups};
use stageyoke_store::StoreLimits;
use stageyoke_store::local_store::LocalStore;
use stageyoke_store::segment::DataFolder;
use stageyoke_store::server;
use stageyoke_types::Text;
use tempfile::TempDir;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;

/// A store that serves requests.
pub struct Store {
    pub local_store: Rc<LocalStore>,
    pub address: SocketAddr,
    pub tasks: Vec<JoinHandle<()>>,
    pub folder: TempDir,
}

impl Store {
    /// Starts a store on an empty disk.
    pub async fn start(number: usize, first_start: bool) -> Self {
        let folder = tempfile::tempdir().expect("folder");
        Self::start_in(number, first_start, folder).await
    }

    /// Starts a store on the disk in this folder.
    pub async fn start_in(number: usize, first_start: bool, folder: TempDir) -> Self {
        let data = DataFolder::open(folder.path()).expect("open");
        let recovered = data
            .recover(number as u64 + 1, first_start)
            .expect("recover");
        let node = Text::from(format!("store-{number}"));
        let limits = StoreLimits::default();
        let (local_store, results) =
            LocalStore::open(node, data, recovered, limits).expect("threads");
        let local_store = Rc::new(local_store);
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
        let address = listener.local_addr().expect("address");
        let collector = local_store.clone();
        let tasks = vec![
            tokio::task::spawn_local(server::serve(local_store.clone(), listener)),
            tokio::task::spawn_local(
                async move { collector.process_journal_results(results).await },
            ),
        ];
        Self {
            local_store,
            address,
            tasks,
            folder,
        }
    }
}

/// Returns a single group of these stores.
pub fn store_groups(stores: &[Store]) -> Rc<StoreGroups> {
    let members = stores.iter().fold(Members::default(), |members, store| {
        members.with_member(Member {
            node: store.local_store.node.clone(),
            address: Text::from(store.address.to_string()),
            zone: Text::from("zone"),
            state: MemberState::Active,
            disk: store.local_store.disk(),
        })
    });
    Rc::new(StoreGroups::single(members))
}

/// Returns the same group with a later member list version.
pub fn with_later_version(stores: &StoreGroups, versions: u64) -> Rc<StoreGroups> {
    let members = stores.group(GroupNumber(0)).expect("group");
    Rc::new(StoreGroups::single(Members {
        version: members.version + versions,
        ..members.clone()
    }))
}
