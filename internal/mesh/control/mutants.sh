#!/usr/bin/env bash
# Puts deliberate faults into the control plane's code, one at a time, and prints which tests fail, as a table. The tree stays
# as it is: the changed file is given to the compiler as an overlay. It fails if a fault is not caught, or its edit no longer
# fits the code.
#
# Usage: mutants.sh [REGEXP]   only the faults whose name matches
set -u
cd "$(dirname "$0")" || exit 1
only=${1:-.}
slow='TestAllOrders|TestRandomOrders'
scratch=$(mktemp -d)
trap 'rm -rf "$scratch"' EXIT
failed=0

# failing PACKAGE FLAGS... prints the names of the tests that fail, one a line.
failing() {
	local package=$1 out
	shift
	out=$(go test -vet=off -count=1 -timeout 120s "$@" "./$package" 2>&1) && return
	if grep -q 'build failed\|setup failed' <<<"$out"; then
		echo "BUILD FAILED"
		return
	fi
	# A panic, as at the end of a test's time, names the test that was running.
	{ grep -oE '^--- FAIL: \w+' <<<"$out" | sed 's/^--- FAIL: //'; grep -oE '^\s+Test\w+' <<<"$out"; } | awk '!seen[$1]++ { print $1 }'
}

# found PACKAGE FLAGS... is the same with the fault in place, without the tests that fail without it.
found() {
	failing "$1" -overlay "$scratch/overlay.json" "${@:2}" | grep -vxF -f "$scratch/$(basename "$1").before"
}

# fault NAME FILE EDIT: EDIT is an extended sed script for FILE. The slow tests run only if the others all pass.
fault() {
	local name=$1 file=$2 edit=$3 package tests
	[[ $name =~ $only ]] || return
	package=$(dirname "$file")
	if [[ ! -e $scratch/$package.before ]]; then
		failing "$package" >"$scratch/$package.before"
		[[ ! -s $scratch/$package.before ]] || echo "$package fails without a fault: $(paste -sd ' ' "$scratch/$package.before")" >&2
	fi
	sed -E "$edit" "$file" >"$scratch/changed.go"
	printf '{"Replace": {"%s": "%s"}}' "$PWD/$file" "$scratch/changed.go" >"$scratch/overlay.json"
	if cmp -s "$file" "$scratch/changed.go"; then
		tests="EDIT DOES NOT FIT"
	else
		tests=$(found "$package" -skip "$slow")
		tests=${tests:-$(found "$package" -run "$slow")}
	fi
	tests=$(paste -sd ' ' <<<"${tests:-NOT CAUGHT}")
	case $tests in "NOT CAUGHT" | "BUILD FAILED" | "EDIT DOES NOT FIT") failed=1 ;; esac
	echo "| $name | \`$file\` | $tests |"
}

echo "| fault | file | tests that fail |"
echo "| --- | --- | --- |"

# A voter's memory.
fault "a promise is not written down" consensus/acceptor.go 's/changed\.State = changed\.State \|\| r\.State\.Promised != q\.Ballot/_ = 0/'
fault "a vote is not written down" consensus/acceptor.go 's/changed\.Vote = true/changed.Vote = false/'
fault "a lower ballot is promised" consensus/acceptor.go '/case Prepare:/,/Rejected/s/if q\.Ballot.*$/if false {/'
fault "a lower ballot is accepted" consensus/acceptor.go '/case Accept:/,/Rejected/s/if q\.Ballot.*$/if false {/'
fault "a vote is held against votes only, not promises" consensus/acceptor.go '/case Accept:/,/Rejected/s/r\.promised\(\)/r.Vote.Ballot/'
fault "a voter plays rounds under an old list" consensus/acceptor.go 's/if q\.Epoch < decided\.Epoch .*$/if false {/'
fault "a recovery's incarnation is not written down" consensus/acceptor.go '/case Recover:/,/default:/s/changed\.State = true/_ = 0/'

# A proposer's count.
fault "a value is committed without a majority" consensus/round.go 's/^func majority.*/func majority(n int) int { return (n + 1) \/ 2 - 1 + n%2*0 }/'
fault "a majority is counted on the old list only" consensus/round.go 's/ && \(r\.joint == nil \|\| hasMajority\(r\.joint, has\)\)//'
fault "a learned vote counts" consensus/round.go 's/ && !reply\.Vote\.Learned//'
fault "an answer of an old incarnation counts" consensus/round.go 's/ok = ok && other\.Incarnations\[node\] <= reply\.Incarnation/_ = other/'
fault "a read takes one vote for committed" consensus/round.go 's/>= majority\(len\(r\.membership\.Voters\)\)$/>= 1/'
fault "any vote is taken for the newest" consensus/round.go 's/if reply\.Vote\.Ballot\.Compare\(newest\.Ballot\) > 0/if newest.Ballot == (Ballot{})/'

# A replica that lost its disk.
fault "a recovery reads from one voter too few" consensus/recovery.go 's/(n >= len\(list\)-majority\(len\(list\)\))\+1/\1/'
fault "a recovery forgets the promises it is told" consensus/recovery.go 's/r\.State\.Promised = reply\.Promised/_ = 0/'
fault "a recovered vote is not marked as learned" consensus/recovery.go 's/r\.Vote\.Learned = .*/_ = 0/'
fault "a wiped replica answers at once" controlplane/replica.go 's/fresh && k\.d\.o\.InitialStart && !k\.lost/fresh/'

# Operators' orders.
fault "a refused order is not remembered" consensus/value.go 's/next\.Refused = append\(slices\.Clone.*/_ = entry/'
fault "a refusal is forgotten at the next version" consensus/value.go 's/if refused\.Version > entry\.Version/if false/'
fault "the oldest refusal gives way to a new one" consensus/value.go 's/return Unknown, w$/w.Refused = w.Refused[1:]/'
fault "a repeat older than the history is refused" consensus/value.go 's/case entry\.Version <= w\.Forgotten:/case false:/'
fault "what the history dropped is not noted" consensus/value.go 's/next\.Forgotten = w\.History.*/_ = dropped/'
fault "an order on an old version is taken" consensus/value.go 's/ \|\| c\.Base < w\.Version:/:/'
fault "a repeat is not recognised" consensus/value.go 's/case slices\.Contains\(w\.History, entry\):/case false:/'
fault "an unknown outcome is answered as a conflict" controlplane/api.go 's/return Verdict\{Unknown, trace\.LimitExceeded/return Verdict{Conflict, trace.LimitExceeded/'
fault "an unknown outcome is answered with 412" controlplane/http.go 's/Unknown: http\.StatusServiceUnavailable/Unknown: http.StatusPreconditionFailed/'

# The control plane's process.
fault "a read is answered from memory" controlplane/api.go '/^func \(d \*Server\) Newest/,/^}/s/r, err := d\.rounds/if w, ok := d.Committed(); ok { return w, nil }; r, err := d.rounds/'
fault "an answer leaves although its write failed" controlplane/replica.go 's/if err := k\.persist\(next, changed\); err != nil \{/if err := k.persist(next, changed); false \&\& err != nil {/'
fault "after a failed write the old record is used on" controlplane/replica.go 's/k\.loaded = false .*/_ = 0/'
fault "a process uses the ballots of its last start" controlplane/server.go 's/d\.node = .*/d.node = o.Self; _ = fmt.Sprintf/'
fault "an older value is told after a newer one" controlplane/server.go 's/if v\.Value\.Version > d\.committed\.Version/if v.Value.Version != d.committed.Version/'

# The disk.
fault "a write is not synced" storage/storage.go 's/Sync: true/Sync: false/'
fault "a checksum is not held against its data" storage/storage.go 's/if crc32\.Checksum\(data, castagnoli\) != .*/if false {/'
fault "a newer format is read as ours" storage/storage.go 's/ \|\| record\[0\] != magic//'

# Leases.
fault "a lease is granted while another holds it" lease/lease.go 's/now >= g\.until && d\.Epoch > g\.epoch/d.Epoch > g.epoch/'
fault "a lease lasts as long for its holder as for the voter" lease/lease.go 's/asked \+ time\.Duration\(\(1-driftShare\)\*float64\(Lease\)\)/now + Lease/'
fault "a voter that has just started grants leases" lease/lease.go 's/from: now \+ Lease/from: now/'
fault "a duty needs half of the voters" lease/lease.go 's/voters\/2\+1, 0/voters\/2, 0/'
fault "a lease is granted under an old list" lease/lease.go 's/case now < v\.from, a\.MembershipEpoch.*/case now < v.from:/'
fault "a used fencing number is granted again" lease/lease.go 's/now >= g\.until && d\.Epoch > g\.epoch/now >= g.until/'

exit $failed
