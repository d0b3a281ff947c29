//! Tests of runtimes, of the demo's checks and of a whole fleet.

use bytes::Bytes;
use hyper::Method;
use tokio::io::AsyncReadExt as _;
use waxwing_core::clock::SystemClock;
use waxwing_solo::{deployments::Deployment, requests::SampleAnswer, runtimes::RoleRuntime};
use waxwing_standin::{answers, callers};

/// Guards against a kill that leaves sockets open or lets the role shut down gracefully: it would not
/// simulate the death of a process.
#[tokio::test]
async fn kill_closes_sockets_without_shutdown() {
    let mut runtime = RoleRuntime::new("killed", 1).expect("threads");
    let bind = tokio::net::TcpListener::bind(("127.0.0.1", 0));
    let listener = runtime.bind(bind).await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    let (stopped, mut shutdown_notice) = tokio::sync::mpsc::channel::<()>(1);
    runtime.run(|shutdown| async move {
        let mut connections = Vec::new();
        loop {
            tokio::select! {
                accepted = listener.accept() => connections.push(accepted),
                () = shutdown.cancelled() => {
                    let _ = stopped.send(()).await;
                    return;
                }
            }
        }
    });
    let mut stream = tokio::net::TcpStream::connect(address)
        .await
        .expect("connected");
    runtime.kill();
    assert!(runtime.is_stopped());
    let read = stream.read(&mut [0; 8]).await;
    assert!(matches!(read, Ok(0) | Err(_)));
    assert_eq!(
        shutdown_notice.recv().await,
        None,
        "the role had no chance to shut down"
    );
}

/// Guards against request files that use accounts without a token, and against settings that the
/// control host refuses.
#[test]
fn example_files_are_consistent() {
    for deployment in Deployment::ALL {
        let file = deployment.requests().expect("the request file is valid");
        let sent: u32 = file.requests.iter().map(|sample| sample.times).sum();
        assert_eq!(file.calls("test").len(), sent as usize);
        let tree = deployment.tree().expect("the settings tree is valid");
        let checked = waxwing_settings::checks::check_tree(&tree);
        assert!(checked.is_ok(), "{:?}", checked.err());
    }
}

/// Guards against a demo that accepts a truncated, refused or wrong answer.
#[test]
fn demo_rejects_wrong_answers() {
    let stream = |text: &str, end: &str| callers::CallAnswer {
        status: 200,
        ended: true,
        body: format!("data: {{\"choices\":[{{\"delta\":{{\"content\":\"{text}\"}}}}]}}\n\n{end}")
            .into_bytes(),
        ..callers::CallAnswer::default()
    };
    let expected = SampleAnswer::Stream("abc ".to_owned());
    let done = "data: [DONE]\n\n";
    assert!(expected.is_satisfied_by(&stream("abc ", done)));
    assert!(!expected.is_satisfied_by(&stream("abc ", "")));
    assert!(!expected.is_satisfied_by(&stream("xyz ", done)));
    let refused = callers::CallAnswer {
        status: 503,
        ..stream("abc ", done)
    };
    assert!(!expected.is_satisfied_by(&refused));
    let body = answers::expected_record("bookings", b"{}");
    let record = SampleAnswer::Record(body.clone(), "bookings/0".into());
    let answer = callers::CallAnswer {
        status: 201,
        ended: true,
        body: body.into_bytes(),
        ..callers::CallAnswer::default()
    };
    assert!(record.is_satisfied_by(&answer));
    let truncated = callers::CallAnswer {
        ended: false,
        ..answer
    };
    assert!(!record.is_satisfied_by(&truncated));
}

/// Guards against a fleet that starts but does not serve, and against a record that is made twice:
/// calls of each kind go through entry, agent and stand-in over real sockets.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn fleet_serves_both_kinds_of_services() {
    let data = tempfile::tempdir().expect("a folder");
    let options = Deployment::Atelier
        .fleet(data.path(), 1)
        .expect("the example is valid");
    let fleet = waxwing_solo::fleets::SoloFleet::start(options)
        .await
        .expect("a fleet");
    let calls = Deployment::Atelier
        .requests()
        .expect("requests")
        .calls("test");
    let order = calls.iter().find(|call| call.resend).expect("a record");
    let chat = calls.iter().find(|call| !call.resend).expect("a chat");
    for call in [chat, order, order] {
        let entry = fleet.entry_addresses[1];
        let answer = callers::call(entry, call.spec.clone(), &SystemClock, None).await;
        let answer = answer.expect("an answer");
        let body = String::from_utf8_lossy(&answer.body);
        assert!(
            call.expected.is_satisfied_by(&answer),
            "{} {body}",
            answer.status
        );
    }
    assert_eq!(fleet.records.counts().recorded, 1);
    let spec = callers::CallSpec {
        method: Method::GET,
        path: "/healthz".into(),
        headers: Vec::new(),
        body: Bytes::new(),
    };
    let health = callers::call(fleet.entry_addresses[0], spec, &SystemClock, None).await;
    assert_eq!(health.expect("an answer").status, 200);
    fleet.stop().await;
}
