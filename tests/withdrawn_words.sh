#!/bin/bash
# Words of the code that docs/design/glossary.md has replaced stand nowhere any more in the project ($1) but in that page,
# the changelog, the journal, and the tables of renamed keys with their tests. Each finished step of the glossary adds
# its words here.
set -euo pipefail
cd "$1"
withdrawn=(
  '[Tt]akeover'
  '[Pp]ool_?([Ll]ist|[Ee]ntry|[Ww]atch|[Nn]ews|[Tt]here|[Cc]hanges)'
  '[Ll]ist_?[Ff]rames'
  'transactions_gone'
  'flows_to_origin'
  'pool\.(silence_ms|line_kb)'
  '\bBrain\b'
  '\bbrain\.h\b'
  '\bLegalRefuse\b'
  '\bLegalSend\b'
  '\bMayGoOn\b'
  '\bAllowance\b'
  '\bTrialWord\b'
  '\bGoneEvent\b'
  '\bTimerMark\b'
  '\borigin_strained\b'
  '\bFading\b'
  '\bgate\.cpp\b'
  '\bholding\.cpp\b'
  '\bchoice\.cpp\b'
  '\ballowance_test\b'
  '\bbalance_failures_test\b'
  '\bbalance_waiting_test\b'
  '\bbalance_test\b'
  '\bHappening\b'
  '\bForEachOrder\b'
  '\borders\.h\b'
  '\bplay\.h\b'
  '\bReadAddress\b'
  '\bHashOfPeer\b'
  '\bOfClass\b'
  '\bFreeBy\b'
  '\bSetNow\b'
  '\bBindTo\b'
  '\bPortOf\b'
  '\bPeekUnread\b'
  '\bother_end\.h\b'
  '\bWithLimit\b'
  '\bBodyTaken\b'
  '\bkMore\b'
  '\bDecision::'
  '\bdecision(_actions)?\.(h|cpp|\*)'
  '\bServerSideFlow\b'
  '\bserver_side_flow\b'
  '\bFlowOwner\b'
  '\bFlowBegan\b'
  '\bFlowPiece\b'
  '\bFlowEnded\b'
  '\bkeeping\.h\b'
  '\bRationing\b'
  '\brationing\.h\b'
  '\bpublishing\.h\b'
  '\bwatching\.h\b'
  '\bMaySend\b'
  '\bGoOn\b'
  '\bkNoRoom\b'
  '\bLatePort\b'
  '\blate_port\b'
  '\bflows_stage\b'
  '\bPurse\b'
  '\bFence\b'
  '\bKeeperLimits\b'
  '\bOfficeOptions\b'
  '\bslots\.h\b'
  '\bkElsewhere\b'
  '\bkDraw\b'
  '\brations_town\b'
  '\bRationsTown\b'
  '\boffice_town\b'
  '\bOfficeTown\b'
  '\bfleet_world\b'
  '\bFleetWorld\b'
  '\bdesk_world\b'
  '\bCareless\b'
  '\bCustody\b'
  '\bvouches\b'
)
allowed='^(CHANGELOG\.md|docs/design/glossary\.md|src/config/keys\.cpp|src/lab/scenario_table\.cpp|tests/net/config_test\.cpp|tests/lab/world_test\.cpp|tests/program\.sh|tests/withdrawn_words\.sh):'
places=(CHANGELOG.md README.md CMakeLists.txt deploy docs include scenarios scripts src tests)
status=0
for word in "${withdrawn[@]}"; do
  # A pattern that finds nothing at all, not even in the glossary or the changelog, would be no check.
  grep -rqE -- "$word" docs/design/glossary.md CHANGELOG.md || { echo "no page tells of '$word'"; status=1; }
  if found=$(grep -rnE -- "$word" "${places[@]}" | grep -vE "$allowed"); then
    echo "withdrawn, see docs/design/glossary.md: '$word'"
    echo "$found"
    status=1
  fi
done
[ "$status" -eq 0 ] && echo "none of ${#withdrawn[@]} withdrawn words is used"
exit "$status"
