#ifndef TESTS_NODE_SCRIPT_H
#define TESTS_NODE_SCRIPT_H

#include <string>

/*
 * Runs a script of events against nodes in one process and returns the script
 * with the resulting actions after each line. Lines of a script:
 *
 *   node NAME [KEY=NUMBER ...]      a node; its seeds are all earlier nodes
 *   config [revision=N] [leaving=ADDRESS] [without=ADDRESS]
 *   call NAME N KIND [KEY=VALUE ...]    KIND: generation, plain, resume
 *   gone NAME N | full NAME N | ready NAME N
 *   started NAME A GENERATION | chunk NAME A FIRST COUNT
 *   done NAME A COUNT | answer NAME A STATUS TEXT
 *   failed NAME A not_sent|refused|gone|sent
 *   load NAME ENDPOINT USED [leaving] | vms NAME ENDPOINT live|leaving
 *   kv NAME OUTCOME   answers the oldest request: ok, conflict,
 *                     not_found, not_applied, lost, applied_lost
 *   home NAME SERVICE | nodes NAME N | shutdown NAME | kill NAME
 *   cut NAME | join NAME | wait MS
 *
 * "kill" ends a node at once; "cut" drops all its records to and from peers
 * until "join". Records between nodes arrive at once. "->" marks the actions
 * that a caller, an endpoint or the key-value service would see.
 */
std::string node_script_run(const std::string &script);

#endif
