# Completion of currantctl for bash.
_currantctl() {
  local cur=${COMP_WORDS[COMP_CWORD]} groups i group='' verb=''
  groups='job service preset config status members workers placements why trace report'
  for ((i = 1; i < COMP_CWORD; i++)); do
    case ${COMP_WORDS[i]} in
      -s | --server | -c | --callers) ((i++)) ;;
      -*) ;;
      *) if [ -z "$group" ]; then group=${COMP_WORDS[i]}; else verb=${verb:-${COMP_WORDS[i]}}; fi ;;
    esac
  done
  local words=$groups
  case $group in
    '') words="$groups --server --callers --json --help --version" ;;
    job) words='submit show list wait cancel' ;;
    service) words='list request' ;;
    preset) words='show set' ;;
    config) words='get put history' ;;
    report) words='burn' ;;
    *) words='' ;;
  esac
  case $group/$verb in
    preset/set) words='ordinary peaks maintenance' ;;
    config/?*) words='preset teams services shards objectives' ;;
    job/submit) words='--file --key --team --name --kind --class --count --cpu --memory --accelerators --run --idempotent' ;;
    service/request) words='--body --key --class --deadline --idempotent' ;;
    report/burn) words='--html' ;;
  esac
  mapfile -t COMPREPLY < <(compgen -W "$words" -- "$cur")
  [ "$group/$verb" = config/put ] && COMPREPLY+=($(compgen -f -- "$cur"))
}
complete -F _currantctl currantctl
