// An example of an operator's script. It may define either function or both; README.md tells what they see.

// When a message is handed in. Nothing returned: it passes.
fn ingress(message) {
    // Destination 9 takes no large notices: turned away before they are taken on, to come again in a minute.
    if message.dest == 9 && message.size > 16384 {
        return #{ reject_ms: 60000 };
    }
    // Notes travel to the provider, as X-Note-class or as the user property note-class.
    #{ notes: #{ class: message.class } }
}

// When the final answer of a message that was taken on is decided. It can only be looked at.
fn final_answer(message, answer) {
    if answer.status != "delivered" {
        log(`${message.id} for ${message.dest}: ${answer.status}`);
    }
}
