# Completion of currantctl for fish.
set -l groups job service preset config status members workers placements why trace report
complete -c currantctl -f
complete -c currantctl -s s -l server -x -d "operators' side of a daemon"
complete -c currantctl -s c -l callers -x -d "callers' side of a daemon"
complete -c currantctl -s j -l json -d "print JSON"
complete -c currantctl -n "not __fish_seen_subcommand_from $groups" -a "$groups"
complete -c currantctl -n "__fish_seen_subcommand_from job" -a "submit show list wait cancel"
complete -c currantctl -n "__fish_seen_subcommand_from service" -a "list request"
complete -c currantctl -n "__fish_seen_subcommand_from preset" -a "show set ordinary peaks maintenance"
complete -c currantctl -n "__fish_seen_subcommand_from config" -a "get put history preset teams services shards objectives"
complete -c currantctl -n "__fish_seen_subcommand_from report" -a "burn"
complete -c currantctl -n "__fish_seen_subcommand_from put submit" -F
