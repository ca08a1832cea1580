//! The command `tables` with the stand-in for the store.

use std::{
    net::{
        Ipv4Addr,
        SocketAddr,
        TcpListener, //
    },
    path::Path,
    process::Command, //
};

use carobdrum_standins::StoreServer;
use tempfile::TempDir;
use tokio::runtime::Runtime;

const ROUTES: &str = "[[route]]\nname = 'a'\nservice = 'api'\naddress = '127.0.0.1:443'\n";
const POOLS: &str = "[[pool]]\nservice = 'api'\nservers = ['a*']\nslots = 1\nconnections = 1\n\
                     [[data_centre]]\nname = 'galway-a'\n";

/// A store and a folder with files of tables.
struct TableFixture {
    /// Runs the store's tasks.
    _runtime: Runtime,
    store: StoreServer,
    folder: TempDir,
}

impl TableFixture {
    fn new() -> TableFixture {
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(1)
            .enable_all()
            .build()
            .unwrap();
        let address = SocketAddr::from(([127, 0, 0, 1], 0));
        let store = runtime.block_on(StoreServer::start(address)).unwrap();
        let folder = tempfile::tempdir().unwrap();
        let fixture = TableFixture {
            _runtime: runtime,
            store,
            folder,
        };
        fixture.write("routes.toml", ROUTES);
        fixture.write("pools.toml", POOLS);
        fixture
    }

    fn path(&self) -> &Path {
        self.folder.path()
    }

    fn write(&self, name: &str, text: &str) {
        std::fs::write(self.path().join(name), text).unwrap();
    }

    fn pools(&self) -> String {
        std::fs::read_to_string(self.path().join("pools.toml")).unwrap()
    }

    /// Runs `tables` and returns the exit code, stdout and stderr.
    fn tables(&self, args: &[&str]) -> (i32, String, String) {
        let output = Command::new(env!("CARGO_BIN_EXE_carobdrum"))
            .arg("tables")
            .args(args)
            .args(["--store", &self.store.address().to_string()])
            .args(["--deployment", "test"])
            .current_dir(self.path())
            .output()
            .unwrap();
        let text = |bytes| String::from_utf8(bytes).unwrap();
        let code = output.status.code().unwrap();
        (code, text(output.stdout), text(output.stderr))
    }

    /// Runs `tables`, which must succeed without a message, and returns its output.
    fn succeed(&self, args: &[&str]) -> String {
        let (code, stdout, stderr) = self.tables(args);
        assert_eq!((code, stderr.as_str()), (0, ""));
        stdout
    }

    fn apply(&self, more: &[&str]) -> (i32, String, String) {
        let args = [
            "apply",
            "--folder",
            ".",
            "--author",
            "anna",
            "--comment",
            "why",
        ];
        self.tables(&[&args, more].concat())
    }
}

/// Guards against an edit that is lost, overwrites another one, or can't be undone.
#[test]
fn edit_is_applied_shown_and_undone() {
    let fixture = TableFixture::new();
    let (code, stdout, _) = fixture.apply(&["--base", "0"]);
    assert_eq!((code, stdout.as_str()), (0, "version 1 is accepted\n"));

    fixture.succeed(&["show", "--folder", ".", "--force"]);
    assert!(fixture.pools().starts_with("# base version: 1\n"));
    let out = fixture.pools().replace("state = \"in\"", "state = \"out\"");
    fixture.write("pools.toml", &out);
    let compared = fixture.succeed(&["check", "--folder", "."]);
    let expected = "tables: ok; compared with version 1: data centres galway-a\n";
    assert_eq!(compared, expected);
    assert_eq!(fixture.apply(&[]).1, "version 2 is accepted\n");

    let (code, stdout, stderr) = fixture.apply(&[]);
    assert_eq!((code, stdout.as_str()), (1, ""));
    assert_eq!(
        stderr,
        "error: not applied: the edit is based on version 1, but version 2 by `anna` (`why`) is in \
         force; since then: data centres galway-a\n"
    );

    let undo = ["undo", "2", "--comment", "back"];
    assert_eq!(fixture.succeed(&undo), "version 3 is accepted\n");
    assert!(fixture.succeed(&["show"]).contains("state = \"in\""));
    assert_eq!(fixture.tables(&undo).0, 1);

    let history = fixture.succeed(&["history"]);
    let lines: Vec<&str> = history.lines().collect();
    assert_eq!(lines.len(), 3);
    assert!(lines[0].starts_with("version 3 at 20"), "{history}");
    assert!(
        lines[1].ends_with("by `anna`: why; data centres galway-a"),
        "{history}"
    );
}

/// Guards against an edit that is reported as failed or applied twice when the store's response to
/// its write is lost.
#[test]
fn lost_response_is_resolved() {
    let fixture = TableFixture::new();
    fixture.store.drop_write_responses(0, 1);
    let (code, stdout, stderr) = fixture.apply(&["--base", "0"]);
    assert_eq!(
        (code, stdout.as_str()),
        (0, "version 1 is accepted\n"),
        "{stderr}"
    );
    assert_eq!(fixture.succeed(&["history"]).lines().count(), 1);
}

/// Guards against a `show` that overwrites an edit in progress.
#[test]
fn show_keeps_existing_files() {
    let fixture = TableFixture::new();
    fixture.apply(&["--base", "0"]);
    let (code, _, stderr) = fixture.tables(&["show", "--folder", "."]);
    assert_eq!(code, 2);
    assert_eq!(
        stderr,
        "error: ./routes.toml: exists; allowed: a new file, or --force\n"
    );
    assert_eq!(fixture.pools(), POOLS);
}

/// Guards against invalid input that reaches the store, and against vague error messages.
#[test]
fn invalid_input_is_reported() {
    let fixture = TableFixture::new();
    let (code, _, stderr) = fixture.apply(&[]);
    assert_eq!(code, 2);
    assert_eq!(
        stderr,
        "error: .: found no base version; allowed: files of `tables show`, or --base\n"
    );
    fixture.write("pools.toml", &POOLS.replace("slots = 1", "slots = 0"));
    let (code, _, stderr) = fixture.apply(&["--base", "0"]);
    assert_eq!(code, 2);
    assert_eq!(
        stderr,
        "./pools.toml:4: pool[0].slots: found 0; allowed: a whole number from 1 to 10000\n"
    );
    assert_eq!(fixture.tables(&["undo", "0", "--comment", "x"]).0, 2);
    assert_eq!(fixture.tables(&["show", "--number", "7"]).0, 2);
    assert_eq!(fixture.tables(&["show"]).0, 1);
}

/// Guards against tables that pass the check but are too long for the store, and against a check
/// that takes minutes for them: both files are filled with rows that are as short as possible.
#[test]
fn largest_tables_fit_the_store() {
    const MAX_BYTES: usize = 160 * 1024;
    let fixture = TableFixture::new();
    let mut routes = String::from("route=[");
    let mut pools = String::from("pool=[");
    for index in 0_u32.. {
        let ip = Ipv4Addr::from(0x0100_0001 + index);
        let route = format!("{{name='{index}',service='{index}',address='{ip}:1'}},");
        let pool = format!("{{service='{index}',servers=['{index}'],slots=1,connections=1}},");
        let longest = (routes.len() + route.len()).max(pools.len() + pool.len());
        if longest >= MAX_BYTES {
            break;
        }
        routes.push_str(&route);
        pools.push_str(&pool);
    }
    fixture.write("routes.toml", &(routes + "]"));
    fixture.write("pools.toml", &(pools + "]"));
    let (code, stdout, stderr) = fixture.apply(&["--base", "0"]);
    assert_eq!(
        (code, stdout.as_str(), stderr.as_str()),
        (0, "version 1 is accepted\n", "")
    );
    let stored = fixture
        .store
        .value("carobdrum/test/tables/current")
        .unwrap();
    println!("{} bytes", stored.len());
    assert!(stored.len() <= 1_000_000);
}

/// Guards against a command that succeeds or fails without a message when no store listens.
#[test]
fn unreachable_store_is_reported() {
    // The port is bound at another address, so no other process gets it at this one.
    let taken = TcpListener::bind("127.0.0.1:0").unwrap();
    let store = format!("127.0.0.77:{}", taken.local_addr().unwrap().port());
    let output = Command::new(env!("CARGO_BIN_EXE_carobdrum"))
        .args(["tables", "show", "--deployment", "test", "--store", &store])
        .output()
        .unwrap();
    let stderr = String::from_utf8(output.stderr).unwrap();
    assert_eq!(output.status.code(), Some(1));
    assert!(output.stdout.is_empty());
    let start = format!("error: connecting to store {store} failed: ");
    assert!(
        stderr.starts_with(&start) && stderr.lines().count() == 1,
        "{stderr}"
    );
}
